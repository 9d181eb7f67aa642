/**
 * Breaks a connection off.
 * @module
 */
import type { Socket } from "node:net";

/**
 * Resets a connection, or closes it where its end is on the way already: a
 * reset then fails and leaves the socket open for good.
 *
 * @example
 * ```ts
 * abortSocket(request.socket);
 * ```
 * @param socket - The connection.
 */
export function abortSocket(socket: Socket): void {
  if (socket.writableEnded && !socket.writableFinished) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
