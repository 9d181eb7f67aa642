/**
 * Longest-expected-first order of samples.
 * @module
 */
import { SampleOrder, type SampleStatus } from "./sample_order.ts";

/**
 * Starts the longest samples first, so that none of them starts late and ends
 * after all others.
 */
export class LongestFirstOrder extends SampleOrder {
  override getRank(sample: SampleStatus): number {
    return sample.expectedTokens;
  }
}
