/**
 * A value that is seen late.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";

interface TimedValue<T> {
  readonly atMs: number;
  readonly value: T;
}

/** A value whose readers see it as it was a while ago. */
export class LaggedValue<T> {
  readonly #clock: Clock;
  readonly #lagMs: number;
  #history: readonly TimedValue<T>[];

  constructor(clock: Clock, lagMs: number, value: T) {
    this.#clock = clock;
    this.#lagMs = lagMs;
    this.#history = [{ atMs: Number.NEGATIVE_INFINITY, value }];
  }

  /**
   * Sets the value; readers see it when the lag has passed.
   *
   * @param value - The new value.
   */
  set(value: T): void {
    const atMs = this.#clock.getMonotonicMs();
    this.#prune(atMs - this.#lagMs);
    this.#history = [...this.#history, { atMs, value }];
  }

  /** Returns the value as readers see it now. */
  get(): T {
    return this.#findSeen(this.#clock.getMonotonicMs() - this.#lagMs).value;
  }

  /** Returns the newest value, which readers may not see yet. */
  getNewest(): T {
    return this.#findSeen(Number.POSITIVE_INFINITY).value;
  }

  #findSeen(atMs: number): TimedValue<T> {
    const seen = this.#history.findLast((timed) => timed.atMs <= atMs);
    return seen ?? this.#history[0] as TimedValue<T>;
  }

  #prune(seenMs: number): void {
    const seen = this.#findSeen(seenMs);
    this.#history = this.#history.filter((timed) => timed.atMs >= seen.atMs);
  }
}
