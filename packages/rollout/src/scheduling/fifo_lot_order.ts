/**
 * First-in-first-out order of lots.
 * @module
 */
import { LotOrder, type LotStatus } from "./lot_order.ts";

/** Orders lots by their submission. */
export class FifoLotOrder extends LotOrder {
  override compare(a: LotStatus, b: LotStatus): number {
    return a.sequence - b.sequence;
  }
}
