/**
 * A clock whose wall time does not follow a step at once. The wall clock of some
 * hosts may jump by seconds and back again, while the monotonic clocks go on; what
 * hosts count by time must not move with them.
 * @module
 */
import { Clock, type Timer } from "./clock.ts";

/** Difference up to which the wall clock is followed at once, in milliseconds; corrections of a synchronized clock are smaller. */
const MAX_CORRECTION_MS = 100;
/** Time for which a step must last until it is followed, in milliseconds. */
const MIN_STEP_MS = 60_000;

/** A wall-clock time relative to the monotonic time, and since when it was observed. */
interface ObservedStep {
  readonly offsetMs: number;
  readonly sinceMs: number;
}

/** A clock whose wall time follows steps of another clock late. */
export class SteadyClock extends Clock {
  readonly #clock: Clock;
  #offsetMs: number;
  #step: ObservedStep | undefined;

  /**
   * @param clock - The clock to follow.
   */
  constructor(clock: Clock) {
    super();
    this.#clock = clock;
    this.#offsetMs = clock.getWallMs() - clock.getMonotonicMs();
  }

  override getMonotonicMs(): number {
    return this.#clock.getMonotonicMs();
  }

  override getWallMs(): number {
    const nowMs = this.#clock.getMonotonicMs();
    this.#applyOffset(this.#clock.getWallMs() - nowMs, nowMs);
    return nowMs + this.#offsetMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    return this.#clock.setTimer(delayMs, callback);
  }

  #applyOffset(offsetMs: number, nowMs: number): void {
    const isSameStep = this.#step !== undefined &&
      isNear(this.#step.offsetMs, offsetMs);
    const sinceMs = isSameStep ? this.#step?.sinceMs ?? nowMs : nowMs;
    if (
      isNear(this.#offsetMs, offsetMs) || nowMs - sinceMs >= MIN_STEP_MS
    ) {
      this.#offsetMs = offsetMs;
      this.#step = undefined;
      return;
    }
    this.#step = { offsetMs, sinceMs };
  }
}

function isNear(one: number, other: number): boolean {
  return Math.abs(one - other) <= MAX_CORRECTION_MS;
}
