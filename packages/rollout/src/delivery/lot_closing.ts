/**
 * Decides when, and for which reason, a lot is closed.
 * @module
 */
import type { CloseRecord } from "./delivery_record.ts";
import type { PullQueue } from "./pull_queue.ts";

/** A trainer without confirmed receipt may return after a longer time. */
const UNCONFIRMED_RETAIN_FACTOR = 4;

/**
 * Decides when a lot is closed: at once if it is cancelled, else a retention
 * time after its complete delivery, as a trainer may restart and pull again.
 */
export class LotClosing {
  readonly #pulls: PullQueue;
  readonly #retainMs: number;
  #isCancelled = false;

  constructor(pulls: PullQueue, retainMs: number) {
    this.#pulls = pulls;
    this.#retainMs = retainMs;
  }

  /** Cancels the lot. */
  cancel(): void {
    this.#isCancelled = true;
  }

  /**
   * Returns the reason to close the lot now, or undefined if there is none.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   */
  getReason(nowMs: number): CloseRecord["reason"] | undefined {
    if (this.#isCancelled) {
      return "cancelled";
    }
    const isDue = nowMs >= (this.getDueMs() ?? Infinity);
    return isDue ? "delivered" : undefined;
  }

  /** Returns when a lot is closed that was answered to its end. */
  getDueMs(): number | undefined {
    const deliveredAtMs = this.#pulls.getDeliveredAtMs();
    if (deliveredAtMs !== undefined) {
      return deliveredAtMs + this.#retainMs;
    }
    const shownAtMs = this.#pulls.getFullyAnsweredAtMs();
    return shownAtMs === undefined
      ? undefined
      : shownAtMs + this.#retainMs * UNCONFIRMED_RETAIN_FACTOR;
  }
}
