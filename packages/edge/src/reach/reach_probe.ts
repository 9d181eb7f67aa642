/**
 * Finds out whether this host can open a connection to an endpoint and gets an
 * answer on it. What the endpoint answers does not matter.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { request } from "node:http";

/** The timeout for opening a connection, in milliseconds: many round trips between failure domains. */
const CONNECT_TIMEOUT_MS = 120;
/** The timeout for the answer on an open connection, in milliseconds; an endpoint that is slow is not cut off. */
const ANSWER_TIMEOUT_MS = 300;

/** What a probe has found: "refused" if a connection was rejected at once, "silent" if nothing has answered. */
export type ProbeResult = "reached" | "refused" | "silent";

/**
 * Returns whether an endpoint can be reached over a new connection. A connection
 * that is reset once it is open counts, as the endpoint has reset it.
 *
 * @example
 * ```ts
 * const result = await probeEndpoint({ hostname: "127.0.0.1", port: 80 }, "/");
 * ```
 * @param address - The address of the endpoint.
 * @param path - The path of its health check.
 */
export function probeEndpoint(
  { hostname, port }: HttpAddress,
  path: string,
): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const outgoing = request({ host: hostname, port, path, agent: false });
    let isConnected = false;
    const settle = (result: ProbeResult) => {
      clearTimeout(timer);
      resolve(result);
      outgoing.destroy();
    };
    // What has arrived while this process was not running is read first.
    const wait = (timeoutMs: number, isOver: () => boolean) =>
      setTimeout(
        () => setImmediate(() => isOver() && settle("silent")),
        timeoutMs,
      );
    let timer = wait(CONNECT_TIMEOUT_MS, () => !isConnected);
    outgoing.on("socket", (socket) => {
      socket.once("connect", () => {
        isConnected = true;
        clearTimeout(timer);
        timer = wait(ANSWER_TIMEOUT_MS, () => true);
      });
    });
    outgoing.on("response", (response) => {
      response.on("error", () => undefined);
      settle("reached");
    });
    outgoing.on("error", () => settle(isConnected ? "reached" : "refused"));
    outgoing.end();
  });
}
