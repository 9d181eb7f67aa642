/**
 * Starts servers.
 * @module
 */
import type { Server } from "node:net";
import { SettingsError } from "../errors/errors.ts";
import type { HttpAddress } from "./http_exchange.ts";

/**
 * Starts listening on an address, or rejects with a {@link SettingsError} if
 * the address is unavailable.
 *
 * @example
 * ```ts
 * import { createServer } from "node:http";
 *
 * await openServer(createServer(), { hostname: "127.0.0.1", port: 0 });
 * ```
 * @param server - The server to start.
 * @param address - The address to listen on.
 */
export function openServer(
  server: Server,
  { hostname, port }: HttpAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", (error) =>
      reject(
        new SettingsError(`can't listen on ${hostname}:${port}`, {
          cause: error,
        }),
      ));
    server.listen(port, hostname, () => resolve());
  });
}
