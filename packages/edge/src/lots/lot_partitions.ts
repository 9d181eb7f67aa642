/**
 * Follows the partitions of the lots that this host owns and of those that it
 * has received calls about.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";
import type { LotId } from "@briarhill/common/ids/ids";
import type { LogPartition } from "@briarhill/common/log/shared_log";
import { LOT_TOPIC } from "@briarhill/platform/names/topics";
import { LotLedger } from "@briarhill/rollout/ledger/lot_ledger";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import {
  FollowedPartition,
  type FollowedPartitionOptions,
} from "../log/followed_partition.ts";

/** How long a partition is followed after its last use, in milliseconds; a trainer reads its lots twice a second. */
const IDLE_RETENTION_MS = 15_000;

/** A partition of the lots that this host follows. */
export type LotPartition = FollowedPartition<LotLedger>;

/** Follows partitions of the lots and stops following those that are no longer used. */
export class LotPartitions {
  readonly #count: number;
  readonly #options: FollowedPartitionOptions;
  readonly #followed = new Map<number, LotPartition>();
  readonly #lastUsedAtMs = new Map<number, number>();

  /**
   * @param count - The number of partitions.
   * @param options - Options of each followed partition.
   */
  constructor(count: number, options: FollowedPartitionOptions) {
    this.#count = count;
    this.#options = options;
  }

  /**
   * Returns the partition that holds a lot.
   *
   * @param lot - The lot's id.
   */
  getPartition(lot: LotId): LogPartition {
    return { topic: LOT_TOPIC, partition: hashText(lot) % this.#count };
  }

  /**
   * Returns a lot of a partition that is followed; undefined if it is not known.
   *
   * @param lot - The lot's id.
   */
  findKnownLot(lot: LotId): LedgerLot | undefined {
    const { partition } = this.getPartition(lot);
    return this.#followed.get(partition)?.view.getLot(lot);
  }

  /**
   * Returns the shard that runs a lot. All lots of a model have the same shard.
   *
   * @param lot - The lot.
   */
  getShard(lot: Pick<LotRequest, "host" | "model">): number {
    return hashText(`${lot.host} ${lot.model}`) % this.#count;
  }

  /**
   * Returns a partition, starting to follow it if necessary.
   *
   * @param number - The partition's number.
   */
  follow(number: number): LotPartition {
    this.#lastUsedAtMs.set(number, this.#options.clock.getMonotonicMs());
    const followed = this.#followed.get(number);
    if (followed !== undefined) {
      return followed;
    }
    const partition = new FollowedPartition(
      { topic: LOT_TOPIC, partition: number },
      new LotLedger(),
      this.#options,
    );
    this.#followed.set(number, partition);
    return partition;
  }

  /**
   * Returns a partition, or undefined if it is not followed.
   *
   * @param number - The partition's number.
   */
  getFollowed(number: number): LotPartition | undefined {
    return this.#followed.get(number);
  }

  /** Stops following the partitions that have not been used within the retention period. */
  prune(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const [number, usedAtMs] of this.#lastUsedAtMs) {
      if (nowMs - usedAtMs > IDLE_RETENTION_MS) {
        this.#followed.get(number)?.stop();
        this.#followed.delete(number);
        this.#lastUsedAtMs.delete(number);
      }
    }
  }

  /** Stops following all partitions. */
  stop(): void {
    this.#followed.forEach((partition) => partition.stop());
  }
}
