/**
 * Averages a value over the last while, so that a burst of work that is absorbed
 * within its time does not count as a lack of servers.
 *
 * Load pattern: a step of each trainer every few seconds, whose samples all wait at
 * its start and may take until the step is due.
 * @module
 */

interface Reading {
  readonly atMs: number;
  readonly value: number;
}

/** The mean of a value over time; the time before the first reading counts as 0. */
export class SlidingMean {
  readonly #windowMs: number;
  /** In the order of their times; each value lasts until the next reading. */
  #readings: readonly Reading[] = [];

  /**
   * @param windowMs - The time over which the mean is taken, in milliseconds.
   */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Adds a reading and returns the mean of the time before it.
   *
   * @param value - The value from now on.
   * @param nowMs - The current time, on the monotonic clock.
   */
  addReading(value: number, nowMs: number): number {
    const startMs = nowMs - this.#windowMs;
    const firstIndex = Math.max(
      0,
      this.#readings.findLastIndex(({ atMs }) => atMs <= startMs),
    );
    const readings = [
      ...this.#readings.slice(firstIndex),
      { atMs: nowMs, value },
    ];
    this.#readings = readings;
    let sum = 0;
    readings.forEach(({ atMs, value }, index) => {
      const endMs = readings[index + 1]?.atMs ?? nowMs;
      sum += value * Math.max(0, endMs - Math.max(atMs, startMs));
    });
    return sum / this.#windowMs;
  }
}
