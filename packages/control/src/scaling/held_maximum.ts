/**
 * Holds the maximum of a value for a time, so that a number of servers follows
 * demand up at once and down only after a long quiet spell.
 *
 * Load pattern: a step of each trainer every few seconds, with little demand
 * between; servers that crash and return.
 * @module
 */

interface Reading {
  readonly atMs: number;
  readonly value: number;
}

/** The maximum of the readings of the last while. */
export class HeldMaximum {
  readonly #holdMs: number;
  /** Readings with decreasing values: an earlier reading that is not greater can't become the maximum again. */
  #readings: readonly Reading[] = [];

  /**
   * @param holdMs - How long a reading counts, in milliseconds.
   */
  constructor(holdMs: number) {
    this.#holdMs = holdMs;
  }

  /**
   * Adds a reading and returns the maximum.
   *
   * @param value - The reading.
   * @param nowMs - The current time, on the monotonic clock.
   */
  addReading(value: number, nowMs: number): number {
    this.#readings = [
      ...this.#readings.filter((reading) =>
        reading.value > value && nowMs - reading.atMs < this.#holdMs
      ),
      { atMs: nowMs, value },
    ];
    return this.#readings[0]?.value ?? value;
  }
}
