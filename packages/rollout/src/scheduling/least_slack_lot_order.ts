/**
 * Least-slack-first order of lots.
 * @module
 */
import { LotOrder, type LotStatus } from "./lot_order.ts";

/**
 * Orders lots by slack, least first: the time left until a lot's deadline after
 * its expected generation time.
 */
export class LeastSlackLotOrder extends LotOrder {
  readonly #tokensPerMs: number;

  constructor(tokensPerMs: number) {
    super();
    this.#tokensPerMs = tokensPerMs;
  }

  override compare(a: LotStatus, b: LotStatus): number {
    return this.#getSlack(a) - this.#getSlack(b) || a.sequence - b.sequence;
  }

  #getSlack(lot: LotStatus): number {
    return lot.dueMs - lot.remainingTokens / this.#tokensPerMs;
  }
}
