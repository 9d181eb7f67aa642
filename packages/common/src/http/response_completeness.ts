/**
 * Tells whether responses have been received completely. Node takes a response
 * without a length as complete however its connection ends, also by a reset.
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Responses whose connection has failed. */
const BROKEN_RESPONSES = new WeakSet<IncomingMessage>();

/**
 * Records that the connection of a response has failed.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").IncomingMessage;
 *
 * addBrokenResponse(response);
 * ```
 * @param response - The response.
 */
export function addBrokenResponse(response: IncomingMessage): void {
  BROKEN_RESPONSES.add(response);
}

/**
 * Returns whether a closed response has been received completely.
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
  return response.complete && !BROKEN_RESPONSES.has(response);
}
