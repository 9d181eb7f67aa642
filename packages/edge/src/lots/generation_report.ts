/**
 * How a run of a sample at an engine ended.
 * @module
 */

/**
 * How a run ended. "failed": the engine's own error; "impossible": the sample
 * can never be done; "refused": it has not run; "broken": what came so far
 * counts; "outdated": the engine's weights are too old.
 */
export type GenerationEnd =
  | "finished"
  | "failed"
  | "impossible"
  | "refused"
  | "broken"
  | "outdated"
  | "cancelled";

/** How a run ended, and why. */
export interface GenerationReport {
  readonly end: GenerationEnd;
  readonly reason: string;
}
