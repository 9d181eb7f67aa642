/**
 * Marks finished lots as closed and removes their records after the retention
 * period, when they can no longer be read.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { LOT_TOPIC, OPEN_LOT_TOPIC } from "@briarhill/platform/names/topics";
import { parseLotKey } from "@briarhill/rollout/ledger/lot_record";
import {
  encodeLotTombstone,
  encodeOpenLot,
  type OpenLotEntry,
} from "@briarhill/rollout/ledger/open_lots";
import { Buffer } from "node:buffer";
import type { ShardGroup } from "./shard_group.ts";

/** Interval between searches for expired lots, in milliseconds. */
const SWEEP_INTERVAL_MS = 15_000;
/** How long a closed lot is retained beyond its retention period, in milliseconds; the period starts before the lot is closed, on another host's clock. */
const REMOVAL_MARGIN_MS = 10_000;
const MAX_REMOVALS_PER_APPEND = 200;

/** Options of a `LotCleaner`. */
export interface LotCleanerOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly group: ShardGroup;
  /** How long after its submission a lot can be read, in milliseconds. */
  readonly lotRetentionMs: number;
}

/** Marks finished lots as closed and removes expired ones. */
export class LotCleaner {
  readonly #options: LotCleanerOptions;
  readonly #stopping = new AbortController();
  /** Lots whose closing record is being appended. */
  readonly #closing = new Set<string>();

  constructor(options: LotCleanerOptions) {
    this.#options = options;
  }

  /** Starts to remove expired lots. */
  start(): void {
    void this.#run();
  }

  /** Stops removing expired lots. */
  stop(): void {
    this.#stopping.abort();
  }

  /**
   * Marks a lot as closed, so that the next owner of its shard skips it.
   *
   * @param shard - The shard.
   * @param entry - The lot.
   */
  closeLot(shard: number, entry: OpenLotEntry): void {
    if (!this.#closing.has(entry.lot)) {
      this.#closing.add(entry.lot);
      void this.#appendClosed(shard, entry);
    }
  }

  async #appendClosed(shard: number, entry: OpenLotEntry): Promise<void> {
    const { log, logger, clock } = this.#options;
    const record = encodeOpenLot({ ...entry, closedAtMs: clock.getWallMs() });
    try {
      await log.append({ topic: OPEN_LOT_TOPIC, partition: shard }, [record]);
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      // The entry is still open, so the next pass of the owner retries.
      logger.error("lot-append-failed", error, { partition: shard });
    } finally {
      await clock.sleep(1_000);
      this.#closing.delete(entry.lot);
    }
  }

  async #run(): Promise<void> {
    const { clock, group, logger, lotRetentionMs } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await clock.sleep(SWEEP_INTERVAL_MS, signal);
      const beforeMs = clock.getWallMs() - lotRetentionMs - REMOVAL_MARGIN_MS;
      for (const partition of group.listShards()) {
        for (const entry of partition.view.listClosed(beforeMs)) {
          try {
            await this.#removeLot(partition.number, entry);
          } catch (error) {
            if (!(error instanceof BriarhillError)) {
              throw error;
            }
            logger.error("lot-removal-failed", error, { lot: entry.lot });
          }
        }
      }
    }
  }

  async #removeLot(shard: number, entry: OpenLotEntry): Promise<void> {
    const { log, logger } = this.#options;
    const logPartition = { topic: LOT_TOPIC, partition: entry.partition };
    const { records } = await log.readNewest(logPartition);
    const removals = records
      .filter(({ key }) => parseLotKey(key).lot === entry.lot)
      .map(({ key }) => ({ key, value: Buffer.alloc(0) }));
    for (
      let first = 0;
      first < removals.length;
      first += MAX_REMOVALS_PER_APPEND
    ) {
      await log.append(
        logPartition,
        removals.slice(first, first + MAX_REMOVALS_PER_APPEND),
      );
    }
    await log.append(
      { topic: OPEN_LOT_TOPIC, partition: shard },
      [encodeLotTombstone(entry.lot)],
    );
    logger.info("lot-removed", { lot: entry.lot, records: removals.length });
  }
}
