/**
 * Limits the rate at which engines start to fetch weights from the store.
 * @module
 */

const MS_PER_SECOND = 1_000;
/** Maximum lateness of a tick that the following fetches may make up for, in milliseconds. */
const MAX_CATCH_UP_MS = 100;

/** Spaces fetches evenly and never exceeds the rate within any second. */
export class FetchRateLimiter {
  #fetchesPerSecond: number;
  #nextStartMs: number;
  /** Start times of the most recent fetches, oldest first. */
  #startTimesMs: number[] = [];

  /** Creates a limiter that permits the first fetch one second after `startMs`. */
  constructor(fetchesPerSecond: number, startMs: number) {
    this.#fetchesPerSecond = fetchesPerSecond;
    // Fetches that a previous leader ordered count against the store's rate too.
    this.#nextStartMs = startMs + MS_PER_SECOND;
  }

  /**
   * Changes the rate.
   *
   * @param fetchesPerSecond - The number of fetches that may start in a second.
   */
  setRate(fetchesPerSecond: number): void {
    this.#fetchesPerSecond = fetchesPerSecond;
  }

  /**
   * Acquires a permit for one fetch; returns whether the fetch may start now.
   *
   * @param nowMs - The current monotonic time.
   */
  acquireFetch(nowMs: number): boolean {
    if (this.#fetchesPerSecond <= 0 || nowMs < this.#nextStartMs) {
      return false;
    }
    // A rate below one fetch per second is enforced over a window longer than a second.
    const maxFetches = Math.max(1, Math.floor(this.#fetchesPerSecond));
    const windowMs = maxFetches / this.#fetchesPerSecond * MS_PER_SECOND;
    if (this.#startTimesMs.length > 2 * maxFetches) {
      this.#startTimesMs = this.#startTimesMs.slice(-maxFetches);
    }
    const oldestMs = this.#startTimesMs[this.#startTimesMs.length - maxFetches];
    if (oldestMs !== undefined && nowMs - oldestMs < windowMs) {
      return false;
    }
    const spacingMs = MS_PER_SECOND / this.#fetchesPerSecond;
    this.#nextStartMs = Math.max(this.#nextStartMs, nowMs - MAX_CATCH_UP_MS) +
      spacingMs;
    this.#startTimesMs.push(nowMs);
    return true;
  }
}
