/**
 * The order in which the trainer listed the samples.
 * @module
 */
import { SampleOrder } from "./sample_order.ts";

/** Starts samples in the order in which the trainer listed them. */
export class InputSampleOrder extends SampleOrder {
  override getRank(): number {
    return 0;
  }
}
