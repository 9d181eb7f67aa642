/**
 * A limit on how often something may happen, as a token bucket of one second.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";

const MS_PER_SECOND = 1000;

/** A token bucket that holds the tokens of one second, at least one. */
export class RateLimit {
  readonly #clock: Clock;
  readonly #perSecond: number;
  #tokens: number;
  #updateedAtMs: number;

  constructor(clock: Clock, perSecond: number) {
    this.#clock = clock;
    this.#perSecond = perSecond;
    this.#tokens = Math.max(1, perSecond);
    this.#updateedAtMs = clock.getMonotonicMs();
  }

  /** Takes a token and returns 0, or takes none and returns the wait in milliseconds. */
  acquire(): number {
    this.#update();
    if (this.#tokens >= 1) {
      this.#tokens--;
      return 0;
    }
    return (1 - this.#tokens) * MS_PER_SECOND / this.#perSecond;
  }

  #update(): void {
    const nowMs = this.#clock.getMonotonicMs();
    const added = (nowMs - this.#updateedAtMs) * this.#perSecond /
      MS_PER_SECOND;
    this.#tokens = Math.min(
      Math.max(1, this.#perSecond),
      this.#tokens + added,
    );
    this.#updateedAtMs = nowMs;
  }
}
