/**
 * Defines the order of a customer's lots.
 * @module
 */

/** The status of a lot on which its place in the order depends. */
export interface LotStatus {
  /** The number of the lot in the order of submission. */
  readonly sequence: number;
  /** The monotonic time at which the complete lot is due. */
  readonly dueMs: number;
  /** Expected number of tokens that are still to be generated. */
  readonly remainingTokens: number;
}

/** Orders the lots of a customer. */
export abstract class LotOrder {
  /**
   * Compares two lots for sorting; the first one gets free slots first.
   *
   * @param a - One lot.
   * @param b - The other lot.
   */
  abstract compare(a: LotStatus, b: LotStatus): number;
}
