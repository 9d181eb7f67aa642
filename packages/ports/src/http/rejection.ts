/**
 * Converts responses that reject a call into typed errors. A status alone must
 * never give the outcome "not-run".
 * @module
 */
import { FencedError, PortError } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import { z } from "zod";

const STATUS_CONFLICT = 409;
const MIN_REJECTION_STATUS = 300;

/**
 * The schema of a rejection's body: problem+json, extended by the outcome of
 * the call.
 */
const REJECTION_BODY = z.looseObject({
  title: z.string().optional(),
  outcome: z.enum(["not-run", "ran", "unknown"]).optional(),
  fenced: z.boolean().optional(),
  retryAfterMs: z.number().min(0).optional(),
});

/** A response that rejects a call. */
export interface RejectedResponse {
  readonly port: string;
  readonly call: { readonly operation: string };
  readonly response: { readonly status: number };
  readonly text: string;
}

/**
 * Returns whether a status rejects the call.
 *
 * @example
 * ```ts
 * isRejectionStatus(503);
 * ```
 * @param status - The status of the response.
 */
export function isRejectionStatus(status: number): boolean {
  return status >= MIN_REJECTION_STATUS;
}

/**
 * Returns the typed error for a rejection. The outcome is "not-run" only if the
 * body reports it or a fenced order (status 409), because a status alone does
 * not show whether the call ran.
 *
 * @example
 * ```ts
 * throw createRejectionError({ port: "engine", call, response, text });
 * ```
 * @param rejection - The response and its call.
 */
export function createRejectionError(rejection: RejectedResponse): PortError {
  const { port, call, response, text } = rejection;
  const rejectionBody = parseRejectionBody(text);
  const isFenced = response.status === STATUS_CONFLICT &&
    rejectionBody.fenced === true;
  const outcome: Outcome = isFenced
    ? "not-run"
    : rejectionBody.outcome ?? "unknown";
  const props = {
    port,
    operation: call.operation,
    fault: "rejected" as const,
    retryAfterMs: rejectionBody.retryAfterMs ?? 0,
    outcome,
  };
  const message =
    `${port} "${call.operation}" was rejected with status ${response.status}: ` +
    (rejectionBody.title ?? "no reason given");
  return isFenced
    ? new FencedError(message, { props })
    : new PortError(message, { props });
}

function parseRejectionBody(text: string): z.output<typeof REJECTION_BODY> {
  try {
    return REJECTION_BODY.parse(JSON.parse(text));
  } catch {
    return {};
  }
}
