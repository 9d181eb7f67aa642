/**
 * A partition of one of our own keyed topics, folded into a view as it grows.
 * @module
 */
import type {
  LogPartition,
  LogRecord,
  SharedLog,
} from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import { ChangeNotifier } from "@briarhill/common/time/change_notifier";
import type { Clock } from "@briarhill/common/time/clock";
import { applyRecords } from "./apply_records.ts";
import { LogFollower } from "./log_follower.ts";

/** The longest wait of one read, in milliseconds: a silent connection shows this late. */
const READ_WAIT_MS = 700;

/** What a view needs to do with a record. */
export interface RecordView {
  applyRecord(record: LogRecord): unknown;
}

/** What a followed partition needs. */
export interface FollowedPartitionOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Is called after records were applied. */
  readonly onChange?: () => void;
}

/** A followed partition and the view that its records make up. */
export class FollowedPartition<View extends RecordView> {
  readonly number: number;
  readonly view: View;
  /** Is announced after records were applied. */
  readonly changes = new ChangeNotifier();
  readonly #options: FollowedPartitionOptions;
  readonly #follower: LogFollower;

  /**
   * @param place - The partition.
   * @param view - The view, which holds nothing yet.
   * @param options - What following needs.
   */
  constructor(
    place: LogPartition,
    view: View,
    options: FollowedPartitionOptions,
  ) {
    this.number = place.partition;
    this.view = view;
    this.#options = options;
    this.#follower = new LogFollower({
      log: options.log,
      clock: options.clock,
      logger: options.logger,
      place,
      fromNewest: true,
      waitMs: READ_WAIT_MS,
      pauseMs: 0,
      onSnapshot: (records) => this.#applyRecords(records),
      onRecords: (records) => this.#applyRecords(records),
    });
    this.#follower.start();
  }

  /** How long ago it was last read to its end, in milliseconds. */
  getAgeMs(): number {
    return this.#follower.getAgeMs();
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
      apply: (record) => this.view.applyRecord(record),
      logger: this.#options.logger,
    });
    if (records.length > 0) {
      this.changes.announce();
      this.#options.onChange?.();
    }
  }
}
