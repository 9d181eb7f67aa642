/**
 * Refusals by a stand-in before it has done anything.
 * @module
 */
import { PortError, type PortFault } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";

/** What was refused. */
export interface RefusedCall {
  readonly port: string;
  readonly operation: string;
  /** When a repeat makes sense; 0 where it makes none. */
  readonly retryAfterMs?: number;
}

/**
 * Returns the error of a call that was refused and did not run.
 *
 * @example
 * ```ts
 * throw createRejection("the queue is full", { port: "engine", operation: "generate" });
 * ```
 * @param message - Why it was refused.
 * @param call - What was refused.
 */
export function createRejection(message: string, call: RefusedCall): PortError {
  const fault: PortFault = "rejected";
  const outcome: Outcome = "not-run";
  const retryAfterMs = Math.ceil(call.retryAfterMs ?? 0);
  return new PortError(message, {
    props: { ...call, fault, outcome, retryAfterMs },
  });
}
