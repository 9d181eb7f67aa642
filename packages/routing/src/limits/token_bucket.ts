/**
 * A token bucket for the requests to one endpoint.
 * @module
 */

/** The time in which a full bucket refills, in milliseconds; at least one token is kept. */
const BURST_MS = 500;
/** The rate of a limit of zero, in requests per second; a response is the only way to learn that the limit has ended. */
const MIN_RATE_PER_S = 0.1;
const MS_PER_S = 1_000;

/** Tokens that are added at a rate and taken by requests. It starts empty, as hosts have sent requests before they knew the rate. */
export class TokenBucket {
  #ratePerS: number;
  #tokens = 0;
  #updatedAtMs: number;

  constructor(ratePerS: number, nowMs: number) {
    this.#ratePerS = Math.max(MIN_RATE_PER_S, ratePerS);
    this.#updatedAtMs = nowMs;
  }

  /** Tokens per second. */
  get ratePerS(): number {
    return this.#ratePerS;
  }

  /**
   * Changes the rate from now on.
   *
   * @param ratePerS - Tokens per second.
   * @param nowMs - The current time.
   */
  setRate(ratePerS: number, nowMs: number): void {
    this.#addTokens(nowMs);
    this.#ratePerS = Math.max(MIN_RATE_PER_S, ratePerS);
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }

  /**
   * Returns the number of tokens.
   *
   * @param nowMs - The current time.
   */
  getTokens(nowMs: number): number {
    this.#addTokens(nowMs);
    return this.#tokens;
  }

  /**
   * Takes a token if there is one, and returns whether there was.
   *
   * @param nowMs - The current time.
   */
  takeToken(nowMs: number): boolean {
    this.#addTokens(nowMs);
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens--;
    return true;
  }

  /**
   * Returns the time at which the bucket has held `count` tokens, if none are taken until then.
   *
   * @param count - A number of tokens, at least 1.
   * @param nowMs - The current time.
   */
  getReadyAtMs(count: number, nowMs: number): number {
    const missing = count - this.getTokens(nowMs);
    return nowMs + Math.max(0, missing * MS_PER_S / this.#ratePerS);
  }

  get #capacity(): number {
    return Math.max(1, this.#ratePerS * BURST_MS / MS_PER_S);
  }

  #addTokens(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
    this.#tokens = Math.min(
      this.#capacity,
      this.#tokens + elapsedMs * this.#ratePerS / MS_PER_S,
    );
  }
}
