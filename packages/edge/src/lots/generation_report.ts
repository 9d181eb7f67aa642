/**
 * The outcome of one attempt at a sample.
 * @module
 */

/**
 * How an attempt ended. "failed": the engine reported an error of its own;
 * "impossible": no engine can ever complete the sample; "refused": the attempt
 * did not run; "broken": the stream broke off and the events received so far are
 * retained; "outdated": the engine's weights are older than the lot allows.
 */
export type GenerationEnd =
  | "finished"
  | "failed"
  | "impossible"
  | "refused"
  | "broken"
  | "outdated"
  | "cancelled";

/** How an attempt ended, with the reason as it is logged. */
export interface GenerationReport {
  readonly end: GenerationEnd;
  readonly reason: string;
}

/** Backoff after an attempt that was refused, in milliseconds. */
const REFUSED_BACKOFF_MS = 30;
/** Backoff after an attempt that broke off, in milliseconds; by then the engine has dropped the attempt. */
const BROKEN_BACKOFF_MS = 40;
/** Backoff after an attempt that can't be sent or that an error of this program has ended, in milliseconds. */
const FAULT_BACKOFF_MS = 5_000;
const FAULT_REASONS: ReadonlySet<string> = new Set(["fault", "unsendable"]);

/** Why an attempt has ended if its events can't be trusted. */
const SPOILED_REASONS: ReadonlySet<string> = new Set([
  "gap",
  "oversized",
  "overdue",
  "no-room",
]);

/**
 * Returns whether the events of an attempt must be discarded.
 *
 * @example
 * ```ts
 * const isSpoiled = hasSpoiledEvents({ end: "broken", reason: "gap" });
 * ```
 * @param report - How the attempt has ended.
 */
export function hasSpoiledEvents({ reason }: GenerationReport): boolean {
  return SPOILED_REASONS.has(reason);
}

/**
 * Returns the delay before the next attempt at a sample, in milliseconds.
 *
 * @example
 * ```ts
 * const backoffMs = getBackoffMs({ end: "refused", reason: "limited" });
 * ```
 * @param report - How the attempt has ended.
 */
export function getBackoffMs({ end, reason }: GenerationReport): number {
  if (FAULT_REASONS.has(reason)) {
    return FAULT_BACKOFF_MS;
  }
  return end === "refused" ? REFUSED_BACKOFF_MS : BROKEN_BACKOFF_MS;
}
