/**
 * Owns shards of the open lots, as the group assigns them, and runs their
 * lots; a lot that another process runs stays there.
 *
 * Ownership only decides who does the work: two owners at once waste runs, but
 * the log alone settles results, so that neither can harm the other's.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import { isTakenOver } from "@briarhill/rollout/ledger/lot_claim";
import type { OpenLotEntry } from "@briarhill/rollout/ledger/open_lots";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LotArchive } from "./lot_archive.ts";
import type { LotPartition, LotPartitions } from "./lot_partitions.ts";
import type { LotRunner, LotRunnerOptions } from "./lot_runner.ts";
import type { LotClaims } from "./lot_claims.ts";
import type { FollowedShard, ShardGroup } from "./shard_group.ts";

/** How long what a closed lot has generated is kept for the next lot, in milliseconds; a trainer asks for its next step within some seconds. */
const KEEP_TASKS_MS = 8_000;
/** How long runs of a closed lot go on, in milliseconds: below the bound after which nothing may reach an engine. */
const RUN_ON_MS = 2_000;
/** How often waiting samples are looked at, in milliseconds. */
const BUSY_EVERY_MS = 25;
/** The same while no lot is open; what is announced is looked at at once. */
const IDLE_EVERY_MS = 250;

/** What an owner needs. */
export interface LotOwnerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly group: ShardGroup;
  readonly partitions: LotPartitions;
  readonly archive: LotArchive;
  readonly claims: LotClaims;
  /** This process. */
  readonly self: string;
  readonly createRunner: (
    lot: LedgerLot,
    partition: number,
    takeEarlier: LotRunnerOptions["takeEarlier"],
  ) => LotRunner;
}

interface ClosedRunner {
  readonly runner: LotRunner;
  readonly closedAtMs: number;
}

/** Owns shards of the open lots and runs their lots. */
export class LotOwner {
  readonly #options: LotOwnerOptions;
  readonly #stopping = new AbortController();
  readonly #runners = new Map<string, LotRunner>();
  /** The processes that had claimed the running lots before. */
  readonly #ownersBefore = new Map<string, string>();
  /** Lots whose records are read to their end before they are run. */
  readonly #starting = new Set<string>();
  #closed: readonly ClosedRunner[] = [];

  constructor(options: LotOwnerOptions) {
    this.#options = options;
  }

  /** Joins the group and begins to run lots. */
  start(): void {
    this.#options.group.start(() => this.#advance());
    void this.#runAdvancing();
  }

  /** Cancels all runs, keeps what they have generated, and leaves the group, so that others go on at once. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#closed.forEach(({ runner }) => runner.stop());
    await Promise.all(
      [...this.#runners.values()].map((runner) => runner.release()),
    );
    this.#runners.clear();
    await this.#options.group.stop();
  }

  /**
   * Tells whether a lot runs here, for a host that would run it otherwise.
   *
   * @param lot - The lot.
   */
  isRunning(lot: string): boolean {
    return this.#runners.has(lot) && this.#options.group.isCurrent;
  }

  async #runAdvancing(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      this.#advance();
      const isBusy = this.#runners.size > 0 || this.#closed.length > 0;
      await clock.sleep(isBusy ? BUSY_EVERY_MS : IDLE_EVERY_MS, signal);
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
      // Other hosts ask the owner of a shard about the lots of that number.
      partitions.follow(shard.number);
      this.#advanceShard(shard, open);
    }
    group.listLeft().forEach((shard) => this.#advanceLeft(shard, open));
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
    const { partitions, archive, claims } = this.#options;
    for (const entry of shard.view.listOpen()) {
      const partition = partitions.follow(entry.partition);
      const lot = partition.view.getLot(entry.lot);
      if (lot === undefined) {
        continue;
      }
      if (!lot.isOpen) {
        archive.closeLot(shard.number, entry);
      } else if (this.#runners.has(lot.id)) {
        this.#addOpen(entry, open);
      } else if (claims.canRun(entry)) {
        void this.#startRunner(shard, entry, partition);
      }
    }
  }

  /** Goes on with the lots of a shard that has passed on, until they end or are taken over. */
  #advanceLeft(shard: FollowedShard, open: Set<string>): void {
    const { partitions, group } = this.#options;
    const running = shard.view.listOpen().filter(({ lot }) =>
      this.#runners.has(lot)
    );
    running.forEach((entry) => {
      const lot = partitions.follow(entry.partition).view.getLot(entry.lot);
      if (lot?.isOpen) {
        this.#addOpen(entry, open);
      }
    });
    if (running.length === 0) {
      group.dropShard(shard);
    }
  }

  #addOpen(entry: OpenLotEntry, open: Set<string>): void {
    const { self } = this.#options;
    const before = this.#ownersBefore.get(entry.lot);
    if (!isTakenOver(entry, { self, before })) {
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
      await this.#readKept(partition);
    }
    this.#starting.delete(entry.lot);
    const lot = partition.view.getLot(entry.lot);
    if (lot === undefined || !lot.isOpen || this.#stopping.signal.aborted) {
      return;
    }
    const runner = createRunner(
      lot,
      entry.partition,
      (sample) => this.#takeEarlier(sample),
    );
    this.#runners.set(lot.id, runner);
    if (entry.owner !== undefined) {
      this.#ownersBefore.set(lot.id, entry.owner);
    }
    runner.advance();
    await claims.addClaim(shard.number, entry);
  }

  /** Reads what an earlier owner has kept last; without it a lot goes on from what is known. */
  async #readKept(partition: LotPartition): Promise<void> {
    try {
      await partition.readToEnd();
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      this.#options.logger.error("lot-unreadable", error, {
        partition: partition.number,
      });
    }
  }

  #closeRunner(id: string, runner: LotRunner): void {
    this.#runners.delete(id);
    this.#ownersBefore.delete(id);
    if (runner.isOpen) {
      // Another host runs it now, or this one can't settle results any more.
      void runner.release();
      return;
    }
    const closedAtMs = this.#options.clock.getMonotonicMs();
    this.#closed = [...this.#closed, { runner, closedAtMs }];
  }

  /** The newest lot's work counts. */
  #takeEarlier(sample: string): SampleTask | undefined {
    for (const { runner } of this.#closed.toReversed()) {
      const task = runner.takeTask(sample);
      if (task !== undefined) {
        return task;
      }
    }
    return undefined;
  }

  #pruneClosed(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const { runner, closedAtMs } of this.#closed) {
      if (nowMs - closedAtMs > RUN_ON_MS) {
        runner.stop();
      }
    }
    this.#closed = this.#closed.filter(({ closedAtMs }) =>
      nowMs - closedAtMs < KEEP_TASKS_MS
    );
  }
}
