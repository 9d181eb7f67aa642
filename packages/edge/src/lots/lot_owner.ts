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
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LotCleaner } from "./lot_cleaner.ts";
import type { LotPartition, LotPartitions } from "./lot_partitions.ts";
import type { LotRunner, LotRunnerOptions } from "./lot_runner.ts";
import type { LotClaims } from "./lot_claims.ts";
import type { FollowedShard, ShardGroup } from "./shard_group.ts";

/** How long the tasks of a closed lot are retained for reuse by the next lot, in milliseconds; a trainer submits its next step within a few seconds. */
const TASK_RETENTION_MS = 8_000;
/** How long attempts of a closed lot continue, in milliseconds; below the bound after which no call of a closed lot may reach an engine any more. */
const CLOSED_ATTEMPT_TIMEOUT_MS = 2_000;
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
  /** Id of this process. */
  readonly processId: string;
  readonly createRunner: (
    lot: LedgerLot,
    partition: number,
    takeEarlierTask: LotRunnerOptions["takeEarlierTask"],
  ) => LotRunner;
}

interface ClosedRunner {
  readonly runner: LotRunner;
  readonly closedAtMs: number;
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
  #closedRunners: readonly ClosedRunner[] = [];

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
    this.#closedRunners.forEach(({ runner }) => runner.stop());
    await Promise.all(
      [...this.#runners.values()].map((runner) => runner.release()),
    );
    this.#runners.clear();
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
      this.#advance();
      const isBusy = this.#runners.size > 0 || this.#closedRunners.length > 0;
      await clock.sleep(isBusy ? BUSY_INTERVAL_MS : IDLE_INTERVAL_MS, signal);
    }
  }

  #advance(): void {
    if (this.#stopping.signal.aborted) {
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
    this.#pruneClosed();
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
      (sample) => this.#takeEarlierTask(sample),
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
    const closedAtMs = this.#options.clock.getMonotonicMs();
    this.#closedRunners = [...this.#closedRunners, { runner, closedAtMs }];
  }

  /** Returns the sample's task from the lot that was closed last, if several lots have one. */
  #takeEarlierTask(sample: string): SampleTask | undefined {
    for (const { runner } of this.#closedRunners.toReversed()) {
      const task = runner.takeTask(sample);
      if (task !== undefined) {
        return task;
      }
    }
    return undefined;
  }

  #pruneClosed(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const { runner, closedAtMs } of this.#closedRunners) {
      if (nowMs - closedAtMs > CLOSED_ATTEMPT_TIMEOUT_MS) {
        runner.stop();
      }
    }
    this.#closedRunners = this.#closedRunners.filter(({ closedAtMs }) =>
      nowMs - closedAtMs < TASK_RETENTION_MS
    );
  }
}
