/**
 * Pseudo-random numbers from a seed, which make every random decision
 * reproducible.
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * A seeded pseudo-random number generator; generators with the same seed
 * return the same numbers.
 */
export class SeededRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
  getFloat(): number {
    return (this.#generator.next() >>> 0) / 2 ** 32;
  }

  /**
   * Returns a uniformly distributed integer from 0 (inclusive) to the bound
   * (exclusive).
   *
   * @param bound - The exclusive upper bound.
   */
  getInteger(bound: number): number {
    return Math.floor(this.getFloat() * bound);
  }

  /**
   * Returns a random item of a list, or undefined if the list is empty.
   *
   * @param items - The list.
   */
  getItem<T>(items: readonly T[]): T | undefined {
    return items[this.getInteger(items.length)];
  }

  /**
   * Returns an exponentially distributed number.
   *
   * @param mean - The mean of the distribution.
   */
  getExponential(mean: number): number {
    return -Math.log(1 - this.getFloat()) * mean;
  }

  /**
   * Returns a log-normally distributed number, which approximates the
   * distribution of response lengths.
   *
   * @param median - The median of the distribution.
   * @param sigma - The standard deviation of its logarithm.
   */
  getLogNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.getFloat()));
    return median *
      Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.getFloat()));
  }
}
