/**
 * Finds out whether an endpoint still accepts connections. A lost connection alone
 * doesn't show that an endpoint has ended: the network and the host lose
 * connections too.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { connect } from "node:net";

/** The timeout for opening a connection, in milliseconds: several round trips between failure domains. */
const PROBE_TIMEOUT_MS = 100;
const CONNECTION_REFUSED = "ECONNREFUSED";

/** Whether a process listens at an address; "unknown" if nothing has answered. */
export type ListenerState = "listening" | "none" | "unknown";

/** Probes endpoints; concurrent probes of one endpoint share a connection. */
export class EndpointProbe {
  readonly #running = new Map<string, Promise<ListenerState>>();

  /**
   * Returns whether a process listens at an address.
   *
   * @param address - The address.
   */
  probeListener(address: HttpAddress): Promise<ListenerState> {
    const key = `${address.hostname}:${address.port}`;
    const running = this.#running.get(key) ??
      openConnection(address).finally(() => this.#running.delete(key));
    this.#running.set(key, running);
    return running;
  }
}

function openConnection(
  { hostname, port }: HttpAddress,
): Promise<ListenerState> {
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port, timeout: PROBE_TIMEOUT_MS });
    const settle = (state: ListenerState) => {
      socket.destroy();
      resolve(state);
    };
    socket.once("connect", () => settle("listening"));
    socket.once("timeout", () => settle("unknown"));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) =>
        settle(error.code === CONNECTION_REFUSED ? "none" : "unknown"),
    );
  });
}
