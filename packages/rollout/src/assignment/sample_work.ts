/**
 * The input and the result of an attempt to generate one sample on a member.
 * @module
 */
import type { GroupStructure, LotStructure } from "../lots/lot_structure.ts";
import type { SamplePrefix } from "../samples/sample_assembly.ts";
import type { SampleStructure } from "../samples/sample_structure.ts";
import type { AssignedAttempts } from "./assigned_attempts.ts";
import type { SampleAssigner } from "./sample_assigner.ts";

/** The input of an attempt to generate one sample. */
export interface SampleWork {
  readonly lot: Omit<LotStructure, "groups" | "samplesPerGroup" | "step">;
  readonly group: GroupStructure;
  readonly slot: number;
  readonly indexInGroup: number;
  readonly attempt: number;
  readonly expectedTokens: number;
  /** The text of an earlier attempt, from which generation resumes. */
  readonly prefix?: SamplePrefix;
}

/** The result of an attempt. */
export type SampleEnd =
  | { readonly kind: "finished"; readonly sample: SampleStructure }
  | {
    readonly kind: "broken";
    /** How long the member should be assigned no new attempts. */
    readonly retryAfterMs: number;
    /** The text generated so far, from which another attempt may resume. */
    readonly prefix?: SamplePrefix;
  };

/** Assigns sample attempts to members. */
export type SampleWorkAssigner = SampleAssigner<SampleWork, SampleEnd>;

/** The sample attempts of a member for one owner. */
export type SampleAttempts = AssignedAttempts<SampleWork, SampleEnd>;

/**
 * Returns the number of characters of text in an attempt's input.
 *
 * @example
 * ```ts
 * const assigner = new SampleAssigner(measureWorkChars);
 * ```
 * @param work - The attempt's input.
 */
export function measureWorkChars({ group, prefix }: SampleWork): number {
  return group.prompt.length + (prefix?.text.length ?? 0);
}

/**
 * Returns the number of characters of text in an attempt's result.
 *
 * @example
 * ```ts
 * const news = runs.takeDueReports(measureEndChars, nowMs);
 * ```
 * @param end - The attempt's result.
 */
export function measureEndChars(end: SampleEnd): number {
  return end.kind === "finished"
    ? end.sample.text.length
    : end.prefix?.text.length ?? 0;
}
