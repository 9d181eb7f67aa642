/**
 * The partitions of the lots that this host follows: those that it owns and
 * those that it was asked about.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";
import type { LotId } from "@briarhill/common/ids/ids";
import type { LogPartition } from "@briarhill/common/log/shared_log";
import { LOT_TOPIC } from "@briarhill/platform/names/topics";
import { LotLedger } from "@briarhill/rollout/ledger/lot_ledger";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import {
  FollowedPartition,
  type FollowedPartitionOptions,
} from "../log/followed_partition.ts";

/** How long a partition that nobody asks about is followed on, in milliseconds; a trainer reads its lots twice a second. */
const KEEP_MS = 15_000;

/** A partition of the lots that this host follows. */
export type LotPartition = FollowedPartition<LotLedger>;

/** The partitions that this host follows. */
export class LotPartitions {
  readonly #count: number;
  readonly #options: FollowedPartitionOptions;
  readonly #followed = new Map<number, LotPartition>();
  readonly #usedAtMs = new Map<number, number>();

  /**
   * @param count - How many partitions there are.
   * @param options - What each partition needs.
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
  getPlace(lot: LotId): LogPartition {
    return { topic: LOT_TOPIC, partition: hashText(lot) % this.#count };
  }

  /**
   * Returns the shard that runs a lot: one for all lots of a model.
   *
   * @param lot - The lot.
   */
  getShard(lot: Pick<LotRequest, "host" | "model">): number {
    return hashText(`${lot.host} ${lot.model}`) % this.#count;
  }

  /**
   * Returns a partition and follows it from now on.
   *
   * @param number - The partition's number.
   */
  follow(number: number): LotPartition {
    this.#usedAtMs.set(number, this.#options.clock.getMonotonicMs());
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
   * Returns a partition if it is followed.
   *
   * @param number - The partition's number.
   */
  getFollowed(number: number): LotPartition | undefined {
    return this.#followed.get(number);
  }

  /** Lets go of the partitions that nobody has asked about for long. */
  prune(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const [number, usedAtMs] of this.#usedAtMs) {
      if (nowMs - usedAtMs > KEEP_MS) {
        this.#followed.get(number)?.stop();
        this.#followed.delete(number);
        this.#usedAtMs.delete(number);
      }
    }
  }

  /** Stops following. */
  stop(): void {
    this.#followed.forEach((partition) => partition.stop());
  }
}
