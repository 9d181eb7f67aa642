/**
 * Decides after which delay a request without a first token is hedged at a
 * second engine.
 * @module
 */

const QUANTILE = 0.95;
const MIN_SAMPLES = 50;
const MIN_DELAY_MS = 50;
const INITIAL_DELAY_MS = 1000;
/** Step of the estimate per sample, as a share of the estimate. */
const STEP_SHARE = 0.05;

/**
 * Estimates the 95th percentile of the time to the first token. An idempotent
 * request that takes longer may also be sent to a second engine.
 */
export class HedgePolicy {
  #estimateMs = INITIAL_DELAY_MS;
  #samples = 0;

  /**
   * Records the time to the first token of a response.
   *
   * @param firstTokenMs - The time to the first token.
   */
  recordFirstToken(firstTokenMs: number): void {
    this.#samples++;
    const step = this.#estimateMs * STEP_SHARE;
    this.#estimateMs += firstTokenMs > this.#estimateMs
      ? step * QUANTILE
      : -step * (1 - QUANTILE);
  }

  /** Returns the delay before a hedge, or undefined while there are too few samples. */
  getDelayMs(): number | undefined {
    return this.#samples < MIN_SAMPLES
      ? undefined
      : Math.max(MIN_DELAY_MS, this.#estimateMs);
  }
}
