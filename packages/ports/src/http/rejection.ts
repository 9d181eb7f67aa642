/**
 * Answers that refuse a call, and what they say of it.
 * @module
 */
import { FencedError, PortError } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import { z } from "zod";

const CONFLICT = 409;
const FIRST_REJECTION = 300;

/** The body of a refusal: problem+json with what is known of the call. */
const REFUSAL = z.looseObject({
  title: z.string().optional(),
  outcome: z.enum(["not-run", "ran", "unknown"]).optional(),
  fenced: z.boolean().optional(),
  retryAfterMs: z.number().min(0).optional(),
});

/** An answer that refuses a call. */
export interface Rejection {
  readonly port: string;
  readonly call: { readonly operation: string };
  readonly reply: { readonly status: number };
  readonly text: string;
}

/**
 * Tells whether a status refuses the call.
 *
 * @example
 * ```ts
 * isRejection(503);
 * ```
 * @param status - The status of the answer.
 */
export function isRejection(status: number): boolean {
  return status >= FIRST_REJECTION;
}

/**
 * Returns the typed error for a refusal. Only the body's own word makes the
 * outcome "not-run": a status alone says nothing of what has happened.
 *
 * @example
 * ```ts
 * throw createRejection({ port: "engine", call, reply, text });
 * ```
 * @param rejection - The answer.
 */
export function createRejection(rejection: Rejection): PortError {
  const { port, call, reply, text } = rejection;
  const refusal = parseRefusal(text);
  const isFenced = reply.status === CONFLICT && refusal.fenced === true;
  const outcome: Outcome = isFenced ? "not-run" : refusal.outcome ?? "unknown";
  const props = {
    port,
    operation: call.operation,
    fault: "rejected" as const,
    retryAfterMs: refusal.retryAfterMs ?? 0,
    outcome,
  };
  const message =
    `${port} "${call.operation}" was refused with status ${reply.status}: ` +
    (refusal.title ?? "no reason given");
  return isFenced
    ? new FencedError(message, { props })
    : new PortError(message, { props });
}

function parseRefusal(text: string): z.output<typeof REFUSAL> {
  try {
    return REFUSAL.parse(JSON.parse(text));
  } catch {
    return {};
  }
}
