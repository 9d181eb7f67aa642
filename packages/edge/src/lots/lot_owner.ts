/**
 * Owns shards of the open lots, as the group assigns them, and runs their lots.
 *
 * Ownership only decides who does the work: two owners at once waste runs, but
 * the log alone settles results, so that neither can harm the other's.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LotArchive } from "./lot_archive.ts";
import type { LotPartitions } from "./lot_partitions.ts";
import type { LotRunner, LotRunnerOptions } from "./lot_runner.ts";
import type { OwnedShard, ShardGroup } from "./shard_group.ts";

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
  readonly group: ShardGroup;
  readonly partitions: LotPartitions;
  readonly archive: LotArchive;
  readonly createRunner: (
    lot: LedgerLot,
    partition: number,
    terms: Pick<LotRunnerOptions, "takeEarlier" | "resumeAtMs">,
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
  #closed: readonly ClosedRunner[] = [];

  constructor(options: LotOwnerOptions) {
    this.#options = options;
  }

  /** Joins the group and begins to run lots. */
  start(): void {
    this.#options.group.start(() => this.#advance());
    void this.#runAdvancing();
  }

  /** Cancels all runs and leaves the group, so that others go on at once. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#runners.forEach((runner) => runner.stop());
    this.#closed.forEach(({ runner }) => runner.stop());
    this.#runners.clear();
    await this.#options.group.stop();
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
    const { group, partitions } = this.#options;
    for (const shard of group.listShards()) {
      // Other hosts ask the owner of a shard about the lots of that number.
      partitions.follow(shard.partition.number);
      this.#advanceShard(shard, open);
    }
    partitions.prune();
    for (const [id, runner] of this.#runners) {
      if (open.has(id)) {
        runner.advance();
      } else {
        this.#closeRunner(id, runner);
      }
    }
    this.#pruneClosed();
  }

  #advanceShard(shard: OwnedShard, open: Set<string>): void {
    const { partitions, archive, createRunner } = this.#options;
    for (const entry of shard.partition.view.listOpen()) {
      const partition = partitions.follow(entry.partition);
      const lot = partition.view.getLot(entry.lot);
      if (lot === undefined) {
        continue;
      }
      if (!lot.isOpen) {
        archive.closeLot(shard.partition.number, entry);
        continue;
      }
      open.add(lot.id);
      if (!this.#runners.has(lot.id)) {
        const runner = createRunner(lot, entry.partition, {
          takeEarlier: (sample) => this.#takeEarlier(sample),
          resumeAtMs: shard.resumeAtMs,
        });
        this.#runners.set(lot.id, runner);
      }
    }
  }

  #closeRunner(id: string, runner: LotRunner): void {
    this.#runners.delete(id);
    if (runner.isOpen) {
      // Another host owns it now and begins anew.
      runner.stop();
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
