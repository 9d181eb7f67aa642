/**
 * Checks the responses that the HTTP client library reads, before it reads them. The
 * library announces each request that it writes to a connection, process-wide.
 * @module
 */
import { ResponseSyntaxGuard } from "@briarhill/common/http/response_syntax_guard";
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Published right before the first byte of a request is written. */
const REQUEST_CHANNEL = "undici:client:sendHeaders";
const ACCEPT_ENCODING = /^accept-encoding:/im;

interface RequestMessage {
  readonly request: { readonly method: string };
  /** The lines of the request head. */
  readonly headers: string;
  readonly socket: Socket;
}

const GUARD = new ResponseSyntaxGuard();
const GUARDED_SOCKETS = new WeakSet<Socket>();

subscribe(REQUEST_CHANNEL, (message) => {
  const { request, headers, socket } = message as RequestMessage;
  if (GUARDED_SOCKETS.has(socket)) {
    GUARD.addRequest(socket, {
      method: request.method,
      acceptsEncoding: ACCEPT_ENCODING.test(headers),
      onFault: (error) => socket.destroy(error),
    });
  }
});

/**
 * Checks all responses on a connection of the library; destroys the connection at
 * the first byte that is no part of an HTTP response.
 *
 * @example
 * ```ts
 * declare const socket: import("node:net").Socket;
 *
 * addGuardedSocket(socket);
 * ```
 * @param socket - The connection, on which no request has been sent yet.
 */
export function addGuardedSocket(socket: Socket): void {
  GUARDED_SOCKETS.add(socket);
}
