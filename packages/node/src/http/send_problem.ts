/**
 * Sends errors to callers as problem+json.
 * @module
 */
import { abortResponse } from "@briarhill/common/http/abort_response";
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { toProblem } from "./problem.ts";

const MS_PER_SECOND = 1000;

/**
 * Sends an error as problem+json. If the response has already started, closes
 * the connection so that the caller can tell that the response is incomplete.
 *
 * @example
 * ```ts
 * sendProblem(response, new NotFoundError("no route for GET /names"));
 * ```
 * @param response - The HTTP response to write to.
 * @param error - The error that ended the request.
 */
export function sendProblem(response: ServerResponse, error: unknown): void {
  if (response.headersSent) {
    abortResponse(response);
    return;
  }
  const problem = toProblem(error);
  const text = JSON.stringify(problem);
  if (problem.retryAfterMs !== undefined) {
    const seconds = Math.ceil(problem.retryAfterMs / MS_PER_SECOND);
    response.setHeader("retry-after", seconds);
  }
  response.writeHead(problem.status, {
    "content-type": "application/problem+json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
