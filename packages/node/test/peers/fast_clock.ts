/**
 * A clock whose monotonic time and timers run faster than the system clock, so
 * that tests over real sockets take less time.
 * @module
 */
import { Clock, type Timer } from "@briarhill/common/time/clock";
import { SystemClock } from "@briarhill/common/time/system_clock";

const SPEED_FACTOR = 5;

/** A clock whose monotonic time and timers run `SPEED_FACTOR` times as fast as the system clock. */
export class FastClock extends Clock {
  readonly #clock = new SystemClock();

  override getMonotonicMs(): number {
    return this.#clock.getMonotonicMs() * SPEED_FACTOR;
  }

  override getWallMs(): number {
    return this.#clock.getWallMs();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    return this.#clock.setTimer(delayMs / SPEED_FACTOR, callback);
  }
}
