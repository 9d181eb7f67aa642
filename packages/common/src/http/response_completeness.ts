/**
 * Tells whether responses have been received completely. Node takes a response
 * without a length as complete however its connection ends, also by a reset.
 * @module
 */
import { Buffer } from "node:buffer";
import { readSync } from "node:fs";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Responses that can't be complete any more, and the errors that have shown it, if any. */
const BROKEN_RESPONSES = new WeakMap<IncomingMessage, Error | undefined>();

/**
 * Records that a response is broken, whatever its parser makes of its end.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").IncomingMessage;
 *
 * setBroken(response);
 * ```
 * @param response - The response.
 * @param cause - The error that has shown it, if any.
 */
export function setBroken(response: IncomingMessage, cause?: Error): void {
  BROKEN_RESPONSES.set(response, cause);
}

/**
 * Returns the error that has shown that a response is broken, if any.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").IncomingMessage;
 *
 * const reason = getBreakCause(response)?.message ?? "cut";
 * ```
 * @param response - The response.
 */
export function getBreakCause(response: IncomingMessage): Error | undefined {
  return BROKEN_RESPONSES.get(response);
}

/**
 * Watches how the connection of a response ends; must be called as soon as the
 * response head has arrived.
 *
 * If the bytes and the reset of a connection have arrived together, the runtime
 * reads the bytes and reports a plain end without an error or a further read.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").IncomingMessage;
 *
 * followConnectionEnd(response);
 * ```
 * @param response - The response.
 */
export function followConnectionEnd(response: IncomingMessage): void {
  const { socket } = response;
  // A response that is complete before its connection ends is not affected.
  const addIfIncomplete = () => {
    if (!response.complete && !BROKEN_RESPONSES.has(response)) {
      setBroken(response);
    }
  };
  const addIfReset = () => {
    if (isReset(socket)) {
      addIfIncomplete();
    }
  };
  // The parser, which listens too, takes the end for the end of the response.
  socket.prependListener("end", addIfReset);
  socket.prependListener("error", addIfIncomplete);
  response.once("close", () => {
    socket.off("end", addIfReset);
    socket.off("error", addIfIncomplete);
  });
}

/**
 * Returns whether a connection was reset before its other side had ended it; to be
 * called when its end is reported. A reset that follows the end changes nothing.
 *
 * @example
 * ```ts
 * declare const socket: import("node:net").Socket;
 *
 * socket.prependListener("end", () => isReset(socket));
 * ```
 * @param socket - The connection.
 */
export function isReset(socket: Socket): boolean {
  const { _handle: handle } = socket as unknown as {
    readonly _handle?: { readonly fd?: number } | null;
  };
  try {
    // The read that the runtime has left out: it returns 0 after a plain end.
    readSync(handle?.fd ?? -1, Buffer.alloc(1));
    return false;
  } catch (error) {
    // Over TLS, the end is reported before the connection has ended.
    return (error as NodeJS.ErrnoException).code !== "EAGAIN";
  }
}

/**
 * Returns whether a closed response has been received and read completely.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").IncomingMessage;
 *
 * const isWhole = isComplete(response);
 * ```
 * @param response - The response.
 */
export function isComplete(response: IncomingMessage): boolean {
  // A response that is given up is complete for the parser, but has no end event.
  return response.complete && response.readableEnded &&
    !BROKEN_RESPONSES.has(response);
}
