/**
 * Handling of repeats of a claimed call.
 * @module
 */
import type { Outcome } from "@briarhill/common/ids/ids";
import type { CallReport, RetainedAnswer } from "./call_table.ts";
import type { CallId, ClaimStructure } from "./claim_structure.ts";

/** Decision on a repeat of a claimed call. */
export type RepeatDecision =
  /** The first call was not run and never will be: claim the key with a claim that supersedes it. */
  | { readonly kind: "claim"; readonly supersedes: CallId }
  | { readonly kind: "replay"; readonly answer: RetainedAnswer }
  /** The first call is still running: fetch its report again later. */
  | { readonly kind: "wait" }
  | { readonly kind: "refuse"; readonly outcome: Outcome };

/**
 * Decides how to handle a repeat, from the report of the first call's holder.
 * Without a report the outcome is unknown: a host that is down or partitioned
 * may have run the call.
 *
 * @example
 * ```ts
 * const decision = decideRepeat(verdict.owner, report);
 * ```
 * @param owner - The claim that owns the key.
 * @param report - The report of its holder, or undefined if the holder is unreachable.
 */
export function decideRepeat(
  owner: ClaimStructure,
  report: CallReport | undefined,
): RepeatDecision {
  if (report === undefined) {
    return { kind: "refuse", outcome: "unknown" };
  }
  switch (report.kind) {
    case "running":
      return { kind: "wait" };
    case "answered":
      return { kind: "replay", answer: report.answer };
    case "ended":
      return report.outcome === "not-run"
        ? { kind: "claim", supersedes: owner.callId }
        : { kind: "refuse", outcome: report.outcome };
  }
}
