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

/** Why an attempt has ended if its events can't be trusted. */
const SPOILED_REASONS: ReadonlySet<string> = new Set([
  "gap",
  "oversized",
  "overdue",
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
