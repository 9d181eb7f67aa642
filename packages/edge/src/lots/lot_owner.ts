/**
 * Owns partitions of the lots, as the group assigns them, and runs their lots.
 *
 * Ownership only decides who does the work: two owners at once waste runs, but
 * the log alone settles results, so that neither can harm the other's.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { LOT_TOPIC } from "@briarhill/platform/names/topics";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import type { LotPartition } from "./lot_partition.ts";
import type { LotPartitions } from "./lot_partitions.ts";
import type { LotRunner } from "./lot_runner.ts";

/** The group of the hosts that run lots. */
export const LOT_GROUP = "lot-owners";
/** How long a silent host keeps its partitions, in milliseconds: a dead owner's lots wait this long. */
const GROUP_TTL_MS = 2_000;
/** How often a host says that it is there, in milliseconds. */
const JOIN_EVERY_MS = 600;
/** How long a host runs its lots on while it can't reach the group, in milliseconds. */
const OWN_UNTIL_MS = 8_000;
/** How often waiting samples are looked at, in milliseconds. */
const ADVANCE_EVERY_MS = 25;

/** What an owner needs. */
export interface LotOwnerOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly partitions: LotPartitions;
  /** This process in the group. */
  readonly member: string;
  readonly ttlMinMs: number;
  readonly createRunner: (lot: LedgerLot, partition: number) => LotRunner;
}

/** Owns partitions of the lots and runs their lots. */
export class LotOwner {
  readonly #options: LotOwnerOptions;
  readonly #stopping = new AbortController();
  readonly #owned = new Map<number, LotPartition>();
  readonly #runners = new Map<string, LotRunner>();
  #generation = 0;
  #joinedAtMs = -Infinity;

  constructor(options: LotOwnerOptions) {
    this.#options = options;
  }

  /** Joins the group and begins to run lots. */
  start(): void {
    void this.#runMembership();
    void this.#runAdvancing();
  }

  /** Cancels all runs and leaves the group, so that others go on at once. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#runners.forEach((runner) => runner.stop());
    this.#runners.clear();
    try {
      await this.#options.log.leaveGroup(this.#createMembership());
    } catch (error) {
      // The group notices after a while by itself.
      this.#options.logger.error("group-leave-failed", error);
    }
  }

  async #runMembership(): Promise<void> {
    const { clock, log, logger } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      try {
        const sentAtMs = clock.getMonotonicMs();
        const assignment = await log.joinGroup(this.#createMembership());
        this.#joinedAtMs = sentAtMs;
        this.#generation = assignment.generation;
        this.#setOwned(assignment.partitions.map(({ partition }) => partition));
      } catch (error) {
        if (!(error instanceof PortError)) {
          throw error;
        }
        logger.error("group-join-failed", error);
      }
      await clock.sleep(JOIN_EVERY_MS, signal);
    }
  }

  #createMembership() {
    const { member, ttlMinMs } = this.#options;
    return {
      group: LOT_GROUP,
      member,
      topics: [LOT_TOPIC],
      ttlMs: Math.max(ttlMinMs, GROUP_TTL_MS),
      generation: this.#generation,
    };
  }

  #setOwned(numbers: readonly number[]): void {
    if (this.#stopping.signal.aborted) {
      return;
    }
    const { partitions, logger } = this.#options;
    const lost = [...this.#owned.keys()].filter((one) =>
      !numbers.includes(one)
    );
    const gained = numbers.filter((one) => !this.#owned.has(one));
    lost.forEach((one) => this.#owned.delete(one));
    gained.forEach((one) => this.#owned.set(one, partitions.follow(one)));
    if (lost.length + gained.length > 0) {
      logger.info("partitions-assigned", {
        generation: this.#generation,
        owned: numbers.join(","),
        lost: lost.join(","),
      });
      this.#advance();
    }
  }

  async #runAdvancing(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      this.#advance();
      await clock.sleep(ADVANCE_EVERY_MS, signal);
    }
  }

  #advance(): void {
    const { clock, createRunner } = this.#options;
    const isOwner = clock.getMonotonicMs() - this.#joinedAtMs < OWN_UNTIL_MS;
    const open = new Set<string>();
    for (const [number, partition] of isOwner ? this.#owned : []) {
      for (const lot of partition.ledger.listLots()) {
        if (!lot.isOpen) {
          continue;
        }
        open.add(lot.id);
        if (!this.#runners.has(lot.id)) {
          this.#runners.set(lot.id, createRunner(lot, number));
        }
      }
    }
    for (const [id, runner] of this.#runners) {
      if (open.has(id)) {
        runner.advance();
      } else {
        runner.stop();
        this.#runners.delete(id);
      }
    }
  }
}
