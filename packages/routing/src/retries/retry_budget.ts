/**
 * Limits the share of retries in live traffic.
 * @module
 */

/** Retries and hedges that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;
/** Maximum of the budget; it prevents a retry storm after an idle period. */
const MAX_RETRIES = 20;
const INITIAL_RETRIES = 10;

/**
 * A budget of retries that grows with the number of requests. If many endpoints
 * fail, retries add at most a tenth to the number of requests.
 */
export class RetryBudget {
  #retries = INITIAL_RETRIES;

  /** Records a received request. */
  recordRequest(): void {
    this.#retries = Math.min(MAX_RETRIES, this.#retries + RETRIES_PER_REQUEST);
  }

  /** Returns whether the budget allows a retry. */
  hasRetry(): boolean {
    return this.#retries >= 1;
  }

  /** Takes one retry from the budget and returns whether there was one left. */
  acquire(): boolean {
    if (!this.hasRetry()) {
      return false;
    }
    this.#retries -= 1;
    return true;
  }
}
