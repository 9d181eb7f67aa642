/**
 * Reports the failure of a call to its caller. Status 503 states that no endpoint
 * has run the request; 502 and 504 state that one may have.
 * @module
 */
import type { ServerResponse } from "node:http";
import type { CallOutcome } from "./call_outcome.ts";
import { writeProblemReply } from "./caller_reply.ts";

/** The retry delay after a refusal, in milliseconds: the usual time until an endpoint has a free slot. */
const REFUSED_RETRY_AFTER_MS = 50;
const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
const STATUS_TIMEOUT = 504;

/**
 * Writes the response for a call that no endpoint has answered.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 *
 * writeCallFailure(response, { kind: "failed", reason: "reset" });
 * ```
 * @param response - The response to the caller.
 * @param outcome - The outcome of the call.
 */
export function writeCallFailure(
  response: ServerResponse,
  outcome: Exclude<CallOutcome, { kind: "answered" }>,
): void {
  if (outcome.kind === "refused") {
    writeProblemReply(response, {
      status: STATUS_UNAVAILABLE,
      title: `not run: ${outcome.reason}`,
      retryAfterMs: outcome.retryAfterMs ?? REFUSED_RETRY_AFTER_MS,
    });
    return;
  }
  const isTimeout = outcome.reason === "deadline";
  writeProblemReply(response, {
    status: isTimeout ? STATUS_TIMEOUT : STATUS_BAD_GATEWAY,
    title: `may have run: ${outcome.reason}`,
  });
}
