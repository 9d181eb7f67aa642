/**
 * Binds servers to their configured address.
 * @module
 */
import { SettingsError } from "@briarhill/common/errors/errors";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { ListenAddress } from "../settings/node_settings.ts";

/**
 * Starts listening and returns the port. Rejects with a `SettingsError` if the
 * server can't listen, because the configured address is already in use or does
 * not belong to this machine.
 *
 * @example
 * ```ts
 * const port = await openPort(server, { address: "127.0.0.1", port: 0 });
 * ```
 * @param server - The server.
 * @param listen - The address and port to listen on; port 0 selects a free one.
 */
export function openPort(
  server: Server,
  listen: ListenAddress,
): Promise<number> {
  return new Promise((resolve, reject) => {
    const handleError = (cause: Error) => {
      const { address, port } = listen;
      const message = `the server cannot listen on ${address}:${port}`;
      reject(new SettingsError(message, { cause }));
    };
    server.once("error", handleError);
    server.listen(listen.port, listen.address, () => {
      server.off("error", handleError);
      resolve((server.address() as AddressInfo).port);
    });
  });
}
