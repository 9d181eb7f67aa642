/**
 * Writes the responses to requests that have failed in this host.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { ServerResponse } from "node:http";
import { writeProblemReply } from "./caller_reply.ts";

/**
 * Writes the response to a request whose handling has thrown an error.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 * declare const error: unknown;
 *
 * writeErrorReply(response, error);
 * ```
 * @param response - The response to the caller.
 * @param error - The error; an {@link InputError} blames the request.
 */
export function writeErrorReply(
  response: ServerResponse,
  error: unknown,
): void {
  const isInput = error instanceof InputError;
  const isTooLarge = isInput && error.key === "body";
  const hasLength = response.req.headers["content-length"] !== undefined;
  if (isTooLarge && !hasLength && !response.headersSent) {
    // A body whose end is known is discarded, so that the client can read the response.
    response.setHeader("Connection", "close");
  }
  writeProblemReply(response, {
    status: isTooLarge ? 413 : isInput ? 400 : 500,
    title: isInput ? error.message : "internal error",
  });
}
