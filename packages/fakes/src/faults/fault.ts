/**
 * Faults that a stand-in is told to have.
 * @module
 */
import type { PortFault } from "@briarhill/common/errors/errors";

/**
 * What goes wrong. "slow" is a delay alone; a "late" answer comes after its
 * caller has given up; a "repeated" one comes twice; a "reordered" one comes
 * after the answers of later calls.
 */
export type FaultKind =
  | Exclude<PortFault, "cancelled">
  | "slow"
  | "late"
  | "repeated"
  | "reordered";

/** A fault of one operation. */
export interface Fault {
  /** The method of the port, such as "append". */
  readonly operation: string;
  readonly kind: FaultKind;
  /** Whether the operation takes effect first; "before" where left out. */
  readonly when?: "before" | "after";
  /** A delay ahead of the fault. */
  readonly delayMs?: number;
  /** How many calls pass unharmed first. */
  readonly skip?: number;
  /** How many calls are hit; 1 where left out. */
  readonly times?: number;
  /** How many chunks of a stream, or records of a page, pass unharmed first. */
  readonly afterChunks?: number;
}

const ANSWER_KINDS: readonly FaultKind[] = ["late", "repeated", "reordered"];

/**
 * Tells whether a fault leaves an answer whole but sends it at the wrong time
 * or twice.
 *
 * @example
 * ```ts
 * isAnswerFault({ operation: "append", kind: "late" });
 * ```
 * @param fault - The fault.
 */
export function isAnswerFault(fault: Fault): boolean {
  return fault.afterChunks === undefined && ANSWER_KINDS.includes(fault.kind);
}

/**
 * Tells whether a fault changes the order of the parts of one answer.
 *
 * @example
 * ```ts
 * isDisorder({ operation: "read", kind: "repeated", afterChunks: 2 });
 * ```
 * @param fault - The fault.
 */
export function isDisorder(fault: Fault): boolean {
  return fault.afterChunks !== undefined &&
    (fault.kind === "repeated" || fault.kind === "reordered");
}
