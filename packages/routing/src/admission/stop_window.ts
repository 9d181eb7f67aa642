/**
 * Decides which requests a stopping host still takes. A request that is taken must
 * get a complete response before the process ends.
 * @module
 */

/** The phases of a stop, in milliseconds since its start. */
export interface StopWindowOptions {
  /** Until then, all requests are taken, as callers can't know of the stop yet. */
  readonly openMs: number;
  /** Requests without a response are ended then. */
  readonly endMs: number;
}

/** Decides which requests a stopping host still takes. */
export class StopWindow {
  readonly #options: StopWindowOptions;
  #startedAtMs: number | undefined;

  constructor(options: StopWindowOptions) {
    this.#options = options;
  }

  /**
   * Starts the stop.
   *
   * @param nowMs - The current time on the monotonic clock.
   */
  start(nowMs: number): void {
    this.#startedAtMs ??= nowMs;
  }

  /**
   * Returns whether a request may be taken: always before the stop and in its first
   * phase, later only if its outcome is known before requests are ended.
   *
   * @param nowMs - The current time on the monotonic clock.
   * @param deadlineMs - The time by which the request has an outcome.
   */
  canTake(nowMs: number, deadlineMs: number): boolean {
    const startedAtMs = this.#startedAtMs ?? nowMs;
    const { openMs, endMs } = this.#options;
    return nowMs < startedAtMs + openMs || deadlineMs <= startedAtMs + endMs;
  }
}
