/**
 * Serializes a lot owner's calls of the log: at most one is in flight.
 * @module
 */

const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 5000;

/** Tracks the call that is in flight, and backs off after failures. */
export class LogCall {
  #isInFlight = false;
  #isBehind = true;
  #isSyncRequested = false;
  #backoffMs = 0;
  #retryAtMs = 0;

  /**
   * Returns whether a call may start.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   */
  canStart(nowMs: number): boolean {
    return !this.#isInFlight && nowMs >= this.#retryAtMs;
  }

  /** Returns when a failed call is retried, or undefined if none failed. */
  getRetryAtMs(): number | undefined {
    return !this.#isInFlight && this.#retryAtMs > 0
      ? this.#retryAtMs
      : undefined;
  }

  /** Requests a read; one that is already in flight does not count. */
  scheduleSync(): void {
    this.#isSyncRequested = true;
  }

  /** Returns whether the stream has to be read before the next append. */
  isBehind(): boolean {
    return this.#isBehind;
  }

  /** Returns whether a read was requested. */
  isSyncRequested(): boolean {
    return this.#isSyncRequested;
  }

  /** Starts a read. */
  startSync(): void {
    this.#isInFlight = true;
    this.#isBehind = false;
    this.#isSyncRequested = false;
  }

  /** Starts an append; a read has to follow it. */
  startAppend(): void {
    this.#isInFlight = true;
    this.#isBehind = true;
  }

  /** Handles a read that succeeded. */
  handleSynced(): void {
    this.#isInFlight = false;
    this.#backoffMs = 0;
    this.#retryAtMs = 0;
  }

  /**
   * Handles an append that ended, or a read that failed.
   *
   * @param outcome - `failed` if the call certainly had no effect.
   * @param nowMs - The monotonic time, in milliseconds.
   */
  handleEnd(outcome: "failed" | "maybe-done", nowMs: number): void {
    this.#isInFlight = false;
    this.#isBehind = true;
    if (outcome === "failed") {
      this.#backoffMs = Math.min(
        RETRY_MAX_MS,
        Math.max(RETRY_MIN_MS, this.#backoffMs * 2),
      );
      this.#retryAtMs = nowMs + this.#backoffMs;
    }
  }
}
