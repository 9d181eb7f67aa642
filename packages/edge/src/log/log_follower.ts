/**
 * Follows one partition of the shared log.
 * @module
 */
import { TrimmedLogError } from "@briarhill/common/errors/errors";
import type { Logger } from "@briarhill/common/logging/logger";
import type {
  LogPartition,
  LogRecord,
  SharedLog,
} from "@briarhill/common/log/shared_log";
import type { Clock } from "@briarhill/common/time/clock";

/** The pause after a failed read, in milliseconds; a store that is away isn't asked more often by all hosts together than it allows. */
const RETRY_PAUSE_MS = 250;

/** What gets the records that a follower reads. */
export interface LogFollowerOptions {
  readonly log: SharedLog;
  readonly place: LogPartition;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Begins with the newest record of each key instead of the first one kept. */
  readonly fromNewest: boolean;
  /** The longest wait of one read, in milliseconds. */
  readonly waitMs: number;
  /** The pause after a read, in milliseconds, so that one read returns many records. */
  readonly pauseMs: number;
  /** Gets the records that a (new) start has read, whole and in order. */
  readonly onSnapshot: (records: readonly LogRecord[]) => void;
  /** Gets the records that follow, in order. */
  readonly onRecords: (records: readonly LogRecord[]) => void;
}

/** Follows one partition of the shared log until it is stopped. */
export class LogFollower {
  readonly #options: LogFollowerOptions;
  readonly #stopping = new AbortController();
  #position: number | undefined;
  #endOffset = 0;
  #currentAtMs = -Infinity;
  #currentAtWallMs = -Infinity;
  #failedAtMs = -Infinity;
  #isFailing = false;
  #isStarted = false;
  #snapshot: Promise<void> | undefined;

  constructor(options: LogFollowerOptions) {
    this.#options = options;
  }

  /** When the partition was last read to its end, on the monotonic clock. */
  get currentAtMs(): number {
    return this.#currentAtMs;
  }

  /**
   * How long ago the partition was last read to its end, in milliseconds, by
   * the clock that has gone further: the monotonic one stands still while a host is
   * suspended.
   */
  getAgeMs(): number {
    const { clock } = this.#options;
    return Math.max(
      clock.getMonotonicMs() - this.#currentAtMs,
      clock.getWallMs() - this.#currentAtWallMs,
    );
  }

  /** When a read failed last, on the monotonic clock. */
  get failedAtMs(): number {
    return this.#failedAtMs;
  }

  /** The offset after the last record of the partition, as of the last read. */
  get endOffset(): number {
    return this.#endOffset;
  }

  /** Begins to follow; does nothing when it has begun. */
  start(): void {
    if (!this.#isStarted) {
      this.#isStarted = true;
      void this.#run();
    }
  }

  /** Stops following. */
  stop(): void {
    this.#stopping.abort();
  }

  /**
   * Reads to the end of the partition now; throws a `PortError` where the log
   * can't be read.
   */
  async readToEnd(): Promise<void> {
    const { log, place } = this.#options;
    if (this.#position === undefined) {
      await this.#readSnapshot();
    }
    const batch = await log.read(place, this.#position ?? 0, 0);
    this.#applyBatch(batch);
  }

  async #run(): Promise<void> {
    const { clock, pauseMs } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      let delayMs = 0;
      try {
        delayMs = await this.#readOnce() ? pauseMs : 0;
        this.#setFailing(false);
      } catch (error) {
        this.#setFailing(true, error);
        delayMs = RETRY_PAUSE_MS;
      }
      if (delayMs > 0) {
        await clock.sleep(delayMs, signal);
      }
    }
  }

  /** Returns whether records came. */
  async #readOnce(): Promise<boolean> {
    const { log, place, waitMs } = this.#options;
    if (this.#position === undefined) {
      await this.#readSnapshot();
      return false;
    }
    try {
      const batch = await log.read(place, this.#position, waitMs);
      return this.#applyBatch(batch);
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

  /** Two readers share one snapshot: it can be large, and the link small. */
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
    const { records, nextOffset } = await log.readNewest(place);
    // What was appended while the pages were read comes with the next read.
    onSnapshot(records.filter(({ offset }) => offset < nextOffset));
    this.#position = nextOffset;
    this.#endOffset = nextOffset;
    this.#setCurrent();
  }

  /** Two reads may overlap; only what lies beyond the position is new. */
  #applyBatch(batch: {
    readonly records: readonly LogRecord[];
    readonly nextOffset: number;
    readonly endOffset: number;
  }): boolean {
    const position = this.#position ?? 0;
    const fresh = batch.records.filter(({ offset }) => offset >= position);
    this.#position = Math.max(position, batch.nextOffset);
    this.#endOffset = Math.max(this.#endOffset, batch.endOffset);
    if (this.#position >= this.#endOffset) {
      this.#setCurrent();
    }
    if (fresh.length > 0) {
      this.#options.onRecords(fresh);
    }
    return fresh.length > 0;
  }

  #setCurrent(): void {
    const { clock } = this.#options;
    this.#currentAtMs = clock.getMonotonicMs();
    this.#currentAtWallMs = clock.getWallMs();
  }

  #setFailing(isFailing: boolean, error?: unknown): void {
    const { logger, place, clock } = this.#options;
    if (isFailing) {
      this.#failedAtMs = clock.getMonotonicMs();
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
