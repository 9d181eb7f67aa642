/**
 * Bounds how long a promise is awaited.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";

/** Options of {@link waitWithTimeout}. */
export interface TimeoutOptions<T> {
  readonly promise: Promise<T>;
  readonly maxWaitMs: number;
  /** Creates the error that the promise is rejected with after the timeout. */
  readonly createError: () => Error;
}

/**
 * Settles as the given promise does, or rejects if it takes longer than `maxWaitMs`.
 *
 * @example
 * ```ts
 * const chunk = await waitWithTimeout(clock, { promise, maxWaitMs: 1000, createError });
 * ```
 * @param clock - The clock that sets the timer.
 * @param options - The promise, the timeout and its error.
 */
export function waitWithTimeout<T>(
  clock: Clock,
  options: TimeoutOptions<T>,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = clock.setTimer(
      options.maxWaitMs,
      () => reject(options.createError()),
    );
    options.promise.then((value) => {
      timer.cancel();
      resolve(value);
    }, (error) => {
      timer.cancel();
      reject(error);
    });
  });
}
