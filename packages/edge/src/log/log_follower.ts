/**
 * Follows one partition of the shared log and delivers its records in order.
 * Overlapping reads must not deliver a record twice.
 * @module
 */
import { TrimmedLogError } from "@briarhill/common/errors/errors";
import type { Logger } from "@briarhill/common/logging/logger";
import type {
  LogBatch,
  LogPartition,
  LogRecord,
  SharedLog,
} from "@briarhill/common/log/shared_log";
import type { Clock } from "@briarhill/common/time/clock";

/**
 * Delay after a failed read, in milliseconds; keeps the retries of all hosts
 * together within the rate that the store allows while it is unreachable.
 */
const RETRY_DELAY_MS = 250;
/** Time beyond its wait within which a response counts as just sent, in milliseconds; with the wait it stays below the bound of the platform for outdated answers. */
const MAX_RESPONSE_DELAY_MS = 250;

/** Readings of both clocks at one moment. */
interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Options of a {@link LogFollower}. */
export interface LogFollowerOptions {
  readonly log: SharedLog;
  readonly place: LogPartition;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Starts with the newest record of each key instead of the first retained record. */
  readonly fromNewest: boolean;
  /** Maximum wait of one long-polling read, in milliseconds. */
  readonly waitMs: number;
  /**
   * Delay after a read that returned records, in milliseconds, so that the
   * next read returns many records.
   */
  readonly pauseMs: number;
  /**
   * Called on each start or restart with the complete snapshot in order; empty
   * without `fromNewest`.
   */
  readonly onSnapshot: (records: readonly LogRecord[]) => void;
  /** Called with the records after the snapshot, in order. */
  readonly onRecords: (records: readonly LogRecord[]) => void;
}

/** Follows one partition of the shared log until it is stopped. */
export class LogFollower {
  readonly #options: LogFollowerOptions;
  readonly #stopController = new AbortController();
  #position: number | undefined;
  #endOffset = 0;
  #caughtUpAtMs = -Infinity;
  #caughtUpAtWallMs = -Infinity;
  #lastFailureAtMs = -Infinity;
  #isFailing = false;
  #isStarted = false;
  #snapshot: Promise<void> | undefined;

  constructor(options: LogFollowerOptions) {
    this.#options = options;
  }

  /** The time when the partition was last read to its end, on the monotonic clock. */
  get caughtUpAtMs(): number {
    return this.#caughtUpAtMs;
  }

  /**
   * Returns the time since the partition was last read to its end, in
   * milliseconds. Uses the clock that has advanced further, as the monotonic clock
   * stops while a host is suspended.
   */
  getAgeMs(): number {
    const { clock } = this.#options;
    return Math.max(
      clock.getMonotonicMs() - this.#caughtUpAtMs,
      clock.getWallMs() - this.#caughtUpAtWallMs,
    );
  }

  /** The time of the last failed read, on the monotonic clock. */
  get lastFailureAtMs(): number {
    return this.#lastFailureAtMs;
  }

  /** The offset after the last record of the partition, as of the last read. */
  get endOffset(): number {
    return this.#endOffset;
  }

  /** Starts to follow the partition; does nothing if already started. */
  start(): void {
    if (!this.#isStarted) {
      this.#isStarted = true;
      void this.#run();
    }
  }

  /** Stops following the partition. */
  stop(): void {
    this.#stopController.abort();
  }

  /**
   * Reads to the end of the partition without waiting; throws a `PortError` if the
   * log cannot be read.
   */
  async readToEnd(): Promise<void> {
    const { log, place } = this.#options;
    if (this.#position === undefined) {
      await this.#readSnapshot();
    }
    const sentAt = this.#getNow();
    const batch = await log.read(place, this.#position ?? 0, 0);
    this.#applyBatch(batch, this.#getStateTime(sentAt, 0));
  }

  async #run(): Promise<void> {
    const { clock, pauseMs } = this.#options;
    const { signal } = this.#stopController;
    while (!signal.aborted) {
      let delayMs = 0;
      try {
        delayMs = await this.#readOnce() ? pauseMs : 0;
        this.#setFailing(false);
      } catch (error) {
        this.#setFailing(true, error);
        delayMs = RETRY_DELAY_MS;
      }
      if (delayMs > 0) {
        await clock.sleep(delayMs, signal);
      }
    }
  }

  /** Reads once and returns whether there were new records. */
  async #readOnce(): Promise<boolean> {
    const { log, place, waitMs } = this.#options;
    if (this.#position === undefined) {
      await this.#readSnapshot();
      return false;
    }
    try {
      const sentAt = this.#getNow();
      const batch = await log.read(place, this.#position, waitMs);
      return this.#applyBatch(batch, this.#getStateTime(sentAt, waitMs));
    } catch (error) {
      if (!(error instanceof TrimmedLogError)) {
        throw error;
      }
      this.#options.logger.warn("log-records-trimmed", {
        topic: place.topic,
        partition: place.partition,
        position: this.#position,
        first: error.firstOffset,
      });
      this.#position = this.#options.fromNewest ? undefined : error.firstOffset;
      return false;
    }
  }

  /**
   * Shares one snapshot between concurrent readers, as it can be large and the
   * link slow.
   */
  #readSnapshot(): Promise<void> {
    this.#snapshot ??= this.#fetchSnapshot().finally(() => {
      this.#snapshot = undefined;
    });
    return this.#snapshot;
  }

  async #fetchSnapshot(): Promise<void> {
    const { log, place, fromNewest, onSnapshot } = this.#options;
    if (!fromNewest) {
      this.#position = 0;
      onSnapshot([]);
      return;
    }
    const sentAt = this.#getNow();
    const { records, nextOffset } = await log.readNewest(place);
    // The next read returns the records that were appended while the pages were read.
    onSnapshot(records.filter(({ offset }) => offset < nextOffset));
    this.#position = nextOffset;
    this.#endOffset = nextOffset;
    this.#setCaughtUp(sentAt);
  }

  /** Delivers only the records from the current position on, as two reads may overlap. */
  #applyBatch(batch: LogBatch, stateAt: ClockReading): boolean {
    const position = this.#position ?? 0;
    const newRecords = batch.records.filter(({ offset }) => offset >= position);
    this.#position = Math.max(position, batch.nextOffset);
    this.#endOffset = Math.max(this.#endOffset, batch.endOffset);
    if (this.#position >= this.#endOffset) {
      this.#setCaughtUp(stateAt);
    }
    if (newRecords.length > 0) {
      this.#options.onRecords(newRecords);
    }
    return newRecords.length > 0;
  }

  #setCaughtUp({ monotonicMs, wallMs }: ClockReading): void {
    this.#caughtUpAtMs = monotonicMs;
    this.#caughtUpAtWallMs = wallMs;
  }

  #getNow(): ClockReading {
    const { clock } = this.#options;
    return { monotonicMs: clock.getMonotonicMs(), wallMs: clock.getWallMs() };
  }

  /**
   * Returns the time as of which a response tells the state of the log. A response
   * that took longer than its wait was held up on its way or by a suspension of this
   * host, and may be as old as its request.
   */
  #getStateTime(sentAt: ClockReading, waitMs: number): ClockReading {
    const now = this.#getNow();
    const tookMs = Math.max(
      now.monotonicMs - sentAt.monotonicMs,
      now.wallMs - sentAt.wallMs,
    );
    return tookMs > waitMs + MAX_RESPONSE_DELAY_MS ? sentAt : now;
  }

  #setFailing(isFailing: boolean, error?: unknown): void {
    const { logger, place, clock } = this.#options;
    if (isFailing) {
      this.#lastFailureAtMs = clock.getMonotonicMs();
    }
    if (isFailing !== this.#isFailing) {
      const context = { topic: place.topic, partition: place.partition };
      isFailing
        ? logger.error("log-unreadable", error, context)
        : logger.info("log-readable", context);
    }
    this.#isFailing = isFailing;
  }
}
