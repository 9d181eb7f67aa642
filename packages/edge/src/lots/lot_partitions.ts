/**
 * The partitions of the lots that this host follows: those that it owns and
 * those that it was asked about.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";
import type { LotId } from "@briarhill/common/ids/ids";
import { LotPartition, type LotPartitionOptions } from "./lot_partition.ts";

/** The partitions that this host follows. */
export class LotPartitions {
  readonly #count: number;
  readonly #options: LotPartitionOptions;
  readonly #followed = new Map<number, LotPartition>();

  /**
   * @param count - How many partitions there are.
   * @param options - What each partition needs.
   */
  constructor(count: number, options: LotPartitionOptions) {
    this.#count = count;
    this.#options = options;
  }

  /**
   * Returns the number of the partition that holds a lot.
   *
   * @param lot - The lot's id.
   */
  getNumber(lot: LotId): number {
    return hashText(lot) % this.#count;
  }

  /**
   * Returns a partition and follows it from now on.
   *
   * @param number - The partition's number.
   */
  follow(number: number): LotPartition {
    const followed = this.#followed.get(number);
    if (followed !== undefined) {
      return followed;
    }
    const partition = new LotPartition(number, this.#options);
    this.#followed.set(number, partition);
    return partition;
  }

  /** Stops following. */
  stop(): void {
    this.#followed.forEach((partition) => partition.stop());
  }
}
