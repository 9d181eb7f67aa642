/**
 * Runs the lots of the shards that the group assigns to this host. A lot that
 * another process already runs stays with that process.
 *
 * Ownership only decides which host runs a lot. Two owners at once waste
 * attempts, but only the log settles results, so neither can corrupt the other's.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import { isTakenOver } from "@briarhill/rollout/ledger/lot_claim";
import type { OpenLotEntry } from "@briarhill/rollout/ledger/open_lots";
import { ClosedRunners } from "./closed_runners.ts";
import type { LotCleaner } from "./lot_cleaner.ts";
import type { LotPartition, LotPartitions } from "./lot_partitions.ts";
import type { LotRunner, LotRunnerOptions } from "./lot_runner.ts";
import type { LotClaims } from "./lot_claims.ts";
import type { FollowedShard, ShardGroup } from "./shard_group.ts";

/** Interval between checks of waiting samples, in milliseconds. */
const BUSY_INTERVAL_MS = 25;
/** The same interval while no lot is open; announced lots are checked at once. */
const IDLE_INTERVAL_MS = 250;

/** Options of a `LotOwner`. */
export interface LotOwnerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly group: ShardGroup;
  readonly partitions: LotPartitions;
  readonly cleaner: LotCleaner;
  readonly claims: LotClaims;
  /** Returns whether this host may run lots, as it reaches the endpoints as well as any other host does. */
  readonly canHoldJobs: () => boolean;
  /** Id of this process. */
  readonly processId: string;
  readonly createRunner: (
    lot: LedgerLot,
    partition: number,
    takeEarlierTask: LotRunnerOptions["takeEarlierTask"],
  ) => LotRunner;
}

/** Runs the lots of this host's shards. */
export class LotOwner {
  readonly #options: LotOwnerOptions;
  readonly #stopping = new AbortController();
  readonly #runners = new Map<string, LotRunner>();
  /** For each running lot, the process that had claimed it before. */
  readonly #previousOwners = new Map<string, string>();
  /** Lots whose records are being read to their end before they start. */
  readonly #starting = new Set<string>();
  readonly #closed = new ClosedRunners();
  #isSuspended = false;

  constructor(options: LotOwnerOptions) {
    this.#options = options;
  }

  /** Joins the group and starts to run lots. */
  start(): void {
    this.#options.group.start(() => this.#advance());
    void this.#runLoop();
  }

  /** Cancels all attempts, appends their progress to the log and leaves the group, so that other hosts continue the lots at once. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#closed.stop();
    await this.#releaseRunners();
    await this.#options.group.stop();
  }

  /**
   * Returns whether this process runs a lot; otherwise the asking host takes it over.
   *
   * @param lot - The lot's id.
   */
  isRunning(lot: string): boolean {
    return this.#runners.has(lot) && this.#options.group.isCurrent;
  }

  async #runLoop(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await this.#advanceSuspension();
      this.#advance();
      const isBusy = this.#runners.size > 0 || this.#closed.size > 0;
      await clock.sleep(isBusy ? BUSY_INTERVAL_MS : IDLE_INTERVAL_MS, signal);
    }
  }

  /** Gives all lots and shards to other hosts while this host may not run lots. */
  async #advanceSuspension(): Promise<void> {
    const { canHoldJobs, group, logger } = this.#options;
    const isSuspended = !canHoldJobs();
    if (isSuspended === this.#isSuspended) {
      return;
    }
    this.#isSuspended = isSuspended;
    if (!isSuspended) {
      logger.info("lots-resumed");
      group.resume();
      return;
    }
    logger.warn("lots-released", { lots: this.#runners.size });
    await this.#releaseRunners();
    await group.suspend();
  }

  /** Until their progress is in the log, this process says that it runs the lots. */
  async #releaseRunners(): Promise<void> {
    await Promise.all(
      [...this.#runners.values()].map((runner) => runner.release()),
    );
    this.#runners.clear();
    this.#previousOwners.clear();
  }

  #advance(): void {
    if (this.#stopping.signal.aborted || this.#isSuspended) {
      return;
    }
    const open = new Set<string>();
    const running = [...this.#runners];
    const { group, partitions } = this.#options;
    for (const shard of group.listShards()) {
      // Other hosts forward calls about the lots of a partition to the owner of the shard with the same number.
      partitions.follow(shard.number);
      this.#advanceShard(shard, open);
    }
    group.listLostShards().forEach((shard) => this.#advanceLost(shard, open));
    partitions.prune();
    for (const [id, runner] of running) {
      if (open.has(id)) {
        runner.advance();
      } else {
        this.#closeRunner(id, runner);
      }
    }
    this.#closed.prune(this.#options.clock.getMonotonicMs());
  }

  #advanceShard(shard: FollowedShard, open: Set<string>): void {
    const { partitions, cleaner, claims } = this.#options;
    for (const entry of shard.view.listOpen()) {
      const partition = partitions.follow(entry.partition);
      const lot = partition.view.getLot(entry.lot);
      if (lot === undefined) {
        continue;
      }
      if (!lot.isOpen) {
        cleaner.closeLot(shard.number, entry);
      } else if (this.#runners.has(lot.id)) {
        this.#addOpenLot(entry, open);
      } else if (claims.canRun(entry)) {
        void this.#startRunner(shard, entry, partition);
      }
    }
  }

  /** Continues the lots of a shard that was assigned to another host until they end or are taken over. */
  #advanceLost(shard: FollowedShard, open: Set<string>): void {
    const { partitions, group } = this.#options;
    const running = shard.view.listOpen().filter(({ lot }) =>
      this.#runners.has(lot)
    );
    running.forEach((entry) => {
      const lot = partitions.follow(entry.partition).view.getLot(entry.lot);
      if (lot?.isOpen) {
        this.#addOpenLot(entry, open);
      }
    });
    if (running.length === 0) {
      group.dropShard(shard);
    }
  }

  #addOpenLot(entry: OpenLotEntry, open: Set<string>): void {
    const { processId } = this.#options;
    const before = this.#previousOwners.get(entry.lot);
    if (!isTakenOver(entry, { self: processId, previousOwner: before })) {
      open.add(entry.lot);
    }
  }

  async #startRunner(
    shard: FollowedShard,
    entry: OpenLotEntry,
    partition: LotPartition,
  ): Promise<void> {
    const { claims, createRunner } = this.#options;
    if (this.#starting.has(entry.lot)) {
      return;
    }
    this.#starting.add(entry.lot);
    if (entry.owner !== undefined) {
      await this.#readEarlierProgress(partition);
    }
    this.#starting.delete(entry.lot);
    const lot = partition.view.getLot(entry.lot);
    if (lot === undefined || !lot.isOpen || this.#stopping.signal.aborted) {
      return;
    }
    const runner = createRunner(
      lot,
      entry.partition,
      (sample) => this.#closed.takeTask(sample, lot.request.workspace),
    );
    this.#runners.set(lot.id, runner);
    if (entry.owner !== undefined) {
      this.#previousOwners.set(lot.id, entry.owner);
    }
    runner.advance();
    await claims.addClaim(shard.number, entry);
  }

  /** Reads the last progress that an earlier owner has appended; if the read fails, the lot continues from the progress already known. */
  async #readEarlierProgress(partition: LotPartition): Promise<void> {
    try {
      await partition.readToEnd();
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      this.#options.logger.error("lot-read-failed", error, {
        partition: partition.number,
      });
    }
  }

  #closeRunner(id: string, runner: LotRunner): void {
    this.#runners.delete(id);
    this.#previousOwners.delete(id);
    if (runner.isOpen) {
      // Another host runs the lot now, or this host can no longer settle its results.
      void runner.release();
      return;
    }
    const { partitions, clock } = this.#options;
    const { workspace } = partitions.findKnownLot(id)?.request ?? {};
    const closedAtMs = clock.getMonotonicMs();
    this.#closed.addRunner({ runner, workspace, closedAtMs });
  }
}
