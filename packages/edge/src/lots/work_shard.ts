/**
 * One shard of the open lots that this host runs.
 * @module
 */
import type { LogRecord, SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { LOT_WORK_TOPIC } from "@briarhill/platform/names/topics";
import { OpenLots } from "@briarhill/rollout/ledger/open_lots";
import { applyRecords } from "../log/apply_records.ts";
import { LogFollower } from "../log/log_follower.ts";

/** The longest wait of one read, in milliseconds: a silent connection shows this late. */
const READ_WAIT_MS = 900;

/** What a shard needs. */
export interface WorkShardOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly resumeAtMs: number;
  /** Is called when lots were announced or closed. */
  readonly onChange: () => void;
}

/** One shard of the open lots. */
export class WorkShard {
  readonly number: number;
  /** When samples that its owner before may still run go on, on the monotonic clock. */
  readonly resumeAtMs: number;
  readonly lots = new OpenLots();
  readonly #options: WorkShardOptions;
  readonly #follower: LogFollower;

  constructor(number: number, options: WorkShardOptions) {
    this.number = number;
    this.resumeAtMs = options.resumeAtMs;
    this.#options = options;
    this.#follower = new LogFollower({
      ...options,
      place: { topic: LOT_WORK_TOPIC, partition: number },
      fromNewest: true,
      waitMs: READ_WAIT_MS,
      pauseMs: 0,
      onSnapshot: (records) => this.#applyRecords(records),
      onRecords: (records) => this.#applyRecords(records),
    });
    this.#follower.start();
  }

  /** Stops following. */
  stop(): void {
    this.#follower.stop();
  }

  #applyRecords(records: readonly LogRecord[]): void {
    applyRecords(records, {
      apply: (record) => this.lots.applyRecord(record),
      logger: this.#options.logger,
    });
    if (records.length > 0) {
      this.#options.onChange();
    }
  }
}
