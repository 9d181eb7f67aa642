/**
 * Finds out whether this host can open a connection to an endpoint and gets an
 * answer on it. What the endpoint answers does not matter.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { request } from "node:http";

/** The timeout of a probe, in milliseconds: several round trips between failure domains and the delay of a busy endpoint. */
const PROBE_TIMEOUT_MS = 120;

/**
 * Returns whether an endpoint can be reached over a new connection. A connection
 * that is reset once it is open counts, as the endpoint has reset it.
 *
 * @example
 * ```ts
 * const isReached = await probeEndpoint({ hostname: "127.0.0.1", port: 80 }, "/");
 * ```
 * @param address - The address of the endpoint.
 * @param path - The path of its health check.
 */
export function probeEndpoint(
  { hostname, port }: HttpAddress,
  path: string,
): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request({ host: hostname, port, path, agent: false });
    let isConnected = false;
    let isSilent = false;
    const settle = (isReached: boolean) => {
      clearTimeout(timer);
      outgoing.destroy();
      resolve(isReached);
    };
    const timer = setTimeout(() => {
      // An answer that has arrived while this process was not running is read first.
      setImmediate(() => {
        isSilent = true;
        settle(false);
      });
    }, PROBE_TIMEOUT_MS);
    outgoing.on("socket", (socket) => {
      socket.once("connect", () => isConnected = true);
    });
    outgoing.on("response", (response) => {
      response.on("error", () => undefined);
      settle(true);
    });
    outgoing.on("error", () => settle(isConnected && !isSilent));
    outgoing.end();
  });
}
