/**
 * Creates the errors of bytes that are no HTTP response.
 * @module
 */
import { ResponseSyntaxError } from "../errors/errors.ts";

const MAX_SHOWN_CHARACTERS = 64;

/**
 * Creates the error of bytes that are no HTTP response.
 *
 * @example
 * ```ts
 * throw createResponseFault("a status that is not HTTP", "HTTP/1.1 000 OK");
 * ```
 * @param found - What the server has sent instead of a part of a response.
 * @param text - The bytes, of which the error shows the beginning.
 */
export function createResponseFault(
  found: string,
  text: string,
): ResponseSyntaxError {
  const shown = JSON.stringify(text.slice(0, MAX_SHOWN_CHARACTERS));
  return new ResponseSyntaxError(`no HTTP response: ${found}: ${shown}`);
}
