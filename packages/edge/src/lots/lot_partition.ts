/**
 * One followed partition of the lots.
 * @module
 */
import type { LogRecord, SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import { ChangeNotifier } from "@briarhill/common/time/change_notifier";
import type { Clock } from "@briarhill/common/time/clock";
import { LOT_TOPIC } from "@briarhill/platform/names/topics";
import { LotLedger } from "@briarhill/rollout/ledger/lot_ledger";
import { applyRecords } from "../log/apply_records.ts";
import { LogFollower } from "../log/log_follower.ts";

/** The longest wait of one read, in milliseconds: a silent connection shows this late. */
const READ_WAIT_MS = 900;

/** What a partition needs. */
export interface LotPartitionOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** One followed partition of the lots. */
export class LotPartition {
  readonly number: number;
  readonly ledger = new LotLedger();
  readonly changes = new ChangeNotifier();
  readonly #logger: Logger;
  readonly #follower: LogFollower;

  constructor(number: number, options: LotPartitionOptions) {
    this.number = number;
    this.#logger = options.logger;
    this.#follower = new LogFollower({
      ...options,
      place: { topic: LOT_TOPIC, partition: number },
      fromNewest: true,
      waitMs: READ_WAIT_MS,
      pauseMs: 0,
      onSnapshot: (records) => this.#applyRecords(records),
      onRecords: (records) => this.#applyRecords(records),
    });
    this.#follower.start();
  }

  /** When the partition was last read to its end, on the monotonic clock. */
  get currentAtMs(): number {
    return this.#follower.currentAtMs;
  }

  /** Reads to the end of the partition now; throws a `PortError` where the log can't be read. */
  readToEnd(): Promise<void> {
    return this.#follower.readToEnd();
  }

  /** Stops following. */
  stop(): void {
    this.#follower.stop();
  }

  #applyRecords(records: readonly LogRecord[]): void {
    applyRecords(records, {
      apply: (record) => this.ledger.applyRecord(record),
      logger: this.#logger,
    });
    if (records.length > 0) {
      this.changes.announce();
    }
  }
}
