/**
 * A clock that is advanced explicitly, for tests and benchmarks in virtual
 * time.
 * @module
 */
import { Clock, type Timer } from "./clock.ts";

interface ManualTimer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** A clock that advances only when {@link ManualClock.advance} is called. */
export class ManualClock extends Clock {
  #nowMs: number;
  #wallOffsetMs = 0;
  #sequence = 0;
  #timers: ManualTimer[] = [];

  constructor(startMs = 0) {
    super();
    this.#nowMs = startMs;
  }

  override getMonotonicMs(): number {
    return this.#nowMs;
  }

  override getWallMs(): number {
    return this.#nowMs + this.#wallOffsetMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const timer = {
      dueMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#sequence++,
      callback,
    };
    this.#timers.push(timer);
    return {
      cancel: () => {
        this.#timers = this.#timers.filter((other) => other !== timer);
      },
    };
  }

  /**
   * Changes the wall-clock time without changing the monotonic time.
   *
   * @param stepMs - The change in milliseconds, which may be negative.
   */
  advanceWallClock(stepMs: number): void {
    this.#wallOffsetMs += stepMs;
  }

  /**
   * Advances the time and fires the timers that become due, in the order of
   * their due times.
   *
   * @param byMs - The duration to advance by, in milliseconds.
   */
  advance(byMs: number): void {
    const endMs = this.#nowMs + byMs;
    for (
      let next = this.#getNextDue(endMs);
      next !== undefined;
      next = this.#getNextDue(endMs)
    ) {
      const due = next;
      this.#timers = this.#timers.filter((other) => other !== due);
      this.#nowMs = Math.max(this.#nowMs, due.dueMs);
      due.callback();
    }
    this.#nowMs = endMs;
  }

  #getNextDue(endMs: number): ManualTimer | undefined {
    let next: ManualTimer | undefined;
    for (const timer of this.#timers) {
      if (
        timer.dueMs <= endMs && (next === undefined || isEarlier(timer, next))
      ) {
        next = timer;
      }
    }
    return next;
  }
}

function isEarlier(a: ManualTimer, b: ManualTimer): boolean {
  return a.dueMs === b.dueMs ? a.sequence < b.sequence : a.dueMs < b.dueMs;
}
