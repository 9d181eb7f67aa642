/**
 * The interface of clocks. Decision logic receives the time as an argument and
 * must not read a clock; only code at the boundary of the process uses a
 * {@link Clock}.
 * @module
 */

/** A scheduled timer. */
export interface Timer {
  /** Cancels the timer; has no effect after it has fired. */
  cancel(): void;
}

/** A source of time and timers. */
export abstract class Clock {
  /** Returns the monotonic time in milliseconds since an arbitrary origin. */
  abstract getMonotonicMs(): number;

  /**
   * Returns the milliseconds since the Unix epoch (1970), which may decrease if
   * an operator sets the system time back.
   */
  abstract getWallMs(): number;

  /**
   * Calls a function once after a delay.
   *
   * @param delayMs - The delay in milliseconds.
   * @param callback - The function to call.
   */
  abstract setTimer(delayMs: number, callback: () => void): Timer;

  /**
   * Resolves after a delay, or as soon as the signal aborts.
   *
   * @param delayMs - The delay in milliseconds.
   * @param signal - Ends the delay early.
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        signal?.removeEventListener("abort", abort);
        resolve();
      };
      const timer = this.setTimer(delayMs, finish);
      const abort = () => {
        timer.cancel();
        finish();
      };
      signal?.addEventListener("abort", abort, { once: true });
    });
  }
}
