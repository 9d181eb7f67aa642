/**
 * Provides a virtual clock whose timers fire one at a time, on request.
 * @module
 */
import { Clock, type Timer } from "@briarhill/common/time/clock";

interface StepTimer {
  readonly dueMs: number;
  readonly callback: () => void;
}

/** A virtual clock whose timers fire one at a time, on request. */
export class StepClock extends Clock {
  readonly #timers = new Set<StepTimer>();
  #nowMs = 0;
  #onTimer: () => void = () => {};

  override getMonotonicMs(): number {
    return this.#nowMs;
  }

  override getWallMs(): number {
    return this.#nowMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const timer = { dueMs: this.#nowMs + delayMs, callback };
    this.#timers.add(timer);
    this.#onTimer();
    return { cancel: () => this.#timers.delete(timer) };
  }

  /** Advances to the earliest timer and fires it. */
  runNext(): void {
    let next: StepTimer | undefined;
    for (const timer of this.#timers) {
      if (next === undefined || timer.dueMs < next.dueMs) {
        next = timer;
      }
    }
    if (next !== undefined) {
      this.#timers.delete(next);
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      next.callback();
    }
  }

  /**
   * Resolves when a timer is set while a condition holds.
   *
   * @param isDone - The condition, evaluated each time that a timer is set.
   */
  waitForTimer(isDone: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      this.#onTimer = () => {
        if (isDone()) {
          this.#onTimer = () => {};
          resolve();
        }
      };
    });
  }
}
