/**
 * Creates the errors of failed calls to external systems.
 * @module
 */
import type { Outcome } from "../ids/ids.ts";
import { PortError, type PortFault } from "./errors.ts";

/** Details of a failed call to an external system. */
export interface PortFailure {
  readonly port: string;
  readonly operation: string;
  readonly fault: PortFault;
  readonly outcome: Outcome;
  readonly cause?: unknown;
}

/**
 * Creates the error of a failed call to an external system.
 *
 * @example
 * ```ts
 * const error = createPortError("the store did not respond", {
 *   port: "store",
 *   operation: "append",
 *   fault: "silent",
 *   outcome: "unknown",
 * });
 * ```
 * @param message - The error message.
 * @param failure - The system, the operation, the fault and the outcome.
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
