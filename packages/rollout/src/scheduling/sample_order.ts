/**
 * Defines the order of a lot's samples.
 * @module
 */

/** The status of a waiting sample. */
export interface SampleStatus {
  readonly slot: number;
  /** Expected number of tokens that are still to be generated. */
  readonly expectedTokens: number;
}

/** Ranks the waiting samples of a lot. */
export abstract class SampleOrder {
  /**
   * Returns the rank of a sample; the highest rank starts first, equal ranks by
   * slot.
   *
   * @param sample - The sample.
   */
  abstract getRank(sample: SampleStatus): number;
}
