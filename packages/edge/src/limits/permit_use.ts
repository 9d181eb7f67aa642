/**
 * Sums up the decisions on the permits of one service for a bounded number of log lines.
 * @module
 */
import type { PermitReply } from "./permit_message.ts";

/** The minimum interval between two summaries, in milliseconds. */
const SUMMARY_INTERVAL_MS = 1_000;

/** The decisions since the last summary. */
export class PermitUse {
  #counts: Record<string, number> = {};
  #summaryAtMs = -Infinity;

  /**
   * Counts a decision.
   *
   * @param flow - The flow of the request.
   * @param reply - The decision.
   */
  addDecision(flow: string, { kind }: PermitReply): void {
    const key = `${flow}-${kind}`;
    this.#counts[key] = (this.#counts[key] ?? 0) + 1;
  }

  /**
   * Returns the counts and starts over if a summary is due, else undefined.
   *
   * @param nowMs - The current time.
   */
  takeSummary(nowMs: number): Readonly<Record<string, number>> | undefined {
    if (nowMs - this.#summaryAtMs < SUMMARY_INTERVAL_MS) {
      return undefined;
    }
    const counts = this.#counts;
    this.#counts = {};
    this.#summaryAtMs = nowMs;
    return counts;
  }
}
