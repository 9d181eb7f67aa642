/**
 * Limits the rate at which engines start to fetch weights from the store.
 * @module
 */

const MS_PER_SECOND = 1_000;
/** Maximum lateness of a tick that the following fetches may make up for, in milliseconds. */
const MAX_CATCH_UP_MS = 100;

/** Spaces fetches evenly and never exceeds the rate within any second. */
export class FetchRateLimiter {
  #perSecond: number;
  #nextMs: number;
  /** Start times of the most recent fetches, oldest first. */
  #startsMs: number[] = [];

  /** Creates a limiter that permits the first fetch one second after `startMs`. */
  constructor(perSecond: number, startMs: number) {
    this.#perSecond = perSecond;
    // Fetches that a previous leader ordered count against the store's rate too.
    this.#nextMs = startMs + MS_PER_SECOND;
  }

  /**
   * Changes the rate.
   *
   * @param perSecond - The number of fetches that may start in a second.
   */
  setRate(perSecond: number): void {
    this.#perSecond = perSecond;
  }

  /**
   * Acquires a permit for one fetch; returns whether the fetch may start now.
   *
   * @param nowMs - The current monotonic time.
   */
  acquireFetch(nowMs: number): boolean {
    if (this.#perSecond <= 0 || nowMs < this.#nextMs) {
      return false;
    }
    // A rate below one fetch per second is enforced over a window longer than a second.
    const maxFetches = Math.max(1, Math.floor(this.#perSecond));
    const windowMs = maxFetches / this.#perSecond * MS_PER_SECOND;
    if (this.#startsMs.length > 2 * maxFetches) {
      this.#startsMs = this.#startsMs.slice(-maxFetches);
    }
    const oldestMs = this.#startsMs[this.#startsMs.length - maxFetches];
    if (oldestMs !== undefined && nowMs - oldestMs < windowMs) {
      return false;
    }
    const spacingMs = MS_PER_SECOND / this.#perSecond;
    this.#nextMs = Math.max(this.#nextMs, nowMs - MAX_CATCH_UP_MS) +
      spacingMs;
    this.#startsMs.push(nowMs);
    return true;
  }
}
