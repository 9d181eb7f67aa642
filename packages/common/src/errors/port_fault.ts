/**
 * Makes errors of calls to the outside.
 * @module
 */
import type { Outcome } from "../ids/ids.ts";
import { PortError, type PortFault } from "./errors.ts";

/** What became of a call to the outside. */
export interface PortFailure {
  readonly port: string;
  readonly operation: string;
  readonly fault: PortFault;
  readonly outcome: Outcome;
  readonly cause?: unknown;
}

/**
 * Returns the error of a call to the outside that failed.
 *
 * @example
 * ```ts
 * const error = createPortError("the store is silent", {
 *   port: "store",
 *   operation: "append",
 *   fault: "silent",
 *   outcome: "unknown",
 * });
 * ```
 * @param message - What was found.
 * @param failure - What became of the call.
 */
export function createPortError(
  message: string,
  failure: PortFailure,
): PortError {
  const { cause, ...props } = failure;
  return new PortError(message, {
    props,
    ...(cause === undefined ? {} : { cause }),
  });
}
