/**
 * Follows a partition of a keyed topic and applies its records to a view.
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

/**
 * Maximum wait of one long-polling read, in milliseconds; also delays the
 * detection of a silent connection.
 */
const READ_WAIT_MS = 700;

/** A view that is built from records. */
export interface RecordView {
  applyRecord(record: LogRecord): unknown;
}

/** Options of a {@link FollowedPartition}. */
export interface FollowedPartitionOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after records have been applied. */
  readonly onChange?: () => void;
}

/** A followed partition and the view that is built from its records. */
export class FollowedPartition<View extends RecordView> {
  readonly number: number;
  readonly view: View;
  /** Announces that records have been applied. */
  readonly changes = new ChangeNotifier();
  readonly #options: FollowedPartitionOptions;
  readonly #follower: LogFollower;

  /**
   * @param place - The partition to follow.
   * @param view - The view, initially empty.
   * @param options - The log, the clock and other dependencies.
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

  /** Returns the time since the partition was last read to its end, in milliseconds. */
  getAgeMs(): number {
    return this.#follower.getAgeMs();
  }

  /**
   * Reads to the end of the partition without waiting; throws a `PortError` if
   * the log cannot be read.
   */
  readToEnd(): Promise<void> {
    return this.#follower.readToEnd();
  }

  /** Stops following the partition. */
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
