/**
 * Ends responses early. A truncated response must not look complete to its caller.
 * @module
 */
import type { ServerResponse } from "node:http";

/** The version in which the end of the connection is the end of a response. */
const UNFRAMED_VERSION = "1.0";

/**
 * Closes the connection of a response that can't be completed, so that the caller
 * can tell.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 *
 * abortResponse(response);
 * ```
 * @param response - The response.
 */
export function abortResponse(response: ServerResponse): void {
  response.req.httpVersion === UNFRAMED_VERSION
    ? response.socket?.resetAndDestroy()
    : response.destroy();
}
