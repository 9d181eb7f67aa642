/**
 * Batches finished samples into appends, so that a lot stays under 100 appends.
 * @module
 */

const MAX_FULL_BATCHES_PER_LOT = 48;
const WAIT_PER_LOT_AGE = 1 / 8;
const MIN_WAIT_MS = 500;

/** The state of a lot that the pacer bases a decision on. */
export interface PacerInput {
  /** Whether a pull is open that settled samples could not answer. */
  readonly hasOpenPull: boolean;
  readonly unsettled: number;
  /** Samples that are still to be generated or scored. */
  readonly unfinished: number;
}

/**
 * Decides when finished samples are settled. Nothing is settled unless a pull
 * is open. A full batch, or a batch that no further sample can extend, is
 * settled at once; a smaller one after a wait that grows with the lot's age. A
 * lot has at most 48 full batches, and a wait of an eighth of the age allows
 * about 8 appends each time the age grows by a factor of e, so that a lot stays
 * under 100 appends even if its samples finish at widely spread times.
 */
export class AppendPacer {
  readonly #batchSize: number;
  #startedMs = 0;
  #waitingSinceMs: number | undefined;

  constructor(samplesInLot: number) {
    this.#batchSize = Math.ceil(samplesInLot / MAX_FULL_BATCHES_PER_LOT);
  }

  /**
   * Starts measuring the lot's age.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   */
  start(nowMs: number): void {
    this.#startedMs = nowMs;
  }

  /**
   * Returns whether to append now.
   *
   * @param input - The state of the lot.
   * @param nowMs - The monotonic time, in milliseconds.
   */
  isDue(input: PacerInput, nowMs: number): boolean {
    if (!input.hasOpenPull || input.unsettled === 0) {
      this.#waitingSinceMs = undefined;
      return false;
    }
    this.#waitingSinceMs ??= nowMs;
    return input.unsettled >= this.#batchSize || input.unfinished === 0 ||
      nowMs >= (this.getDueMs() ?? Infinity);
  }

  /** Returns when the current wait ends, or undefined if there is none. */
  getDueMs(): number | undefined {
    if (this.#waitingSinceMs === undefined) {
      return undefined;
    }
    const ageMs = this.#waitingSinceMs - this.#startedMs;
    return this.#waitingSinceMs +
      Math.max(MIN_WAIT_MS, ageMs * WAIT_PER_LOT_AGE);
  }

  /** Ends the current wait, because an append was started. */
  clearWait(): void {
    this.#waitingSinceMs = undefined;
  }
}
