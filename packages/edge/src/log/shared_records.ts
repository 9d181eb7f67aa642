/**
 * Shares small records among all hosts through one partition of a keyed topic:
 * every host follows the partition, and appends the records that it sets in
 * batches.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type {
  LogPartition,
  LogRecord,
  SharedLog,
} from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { Buffer } from "node:buffer";
import { LogFollower } from "./log_follower.ts";

/** Options of {@link SharedRecords}. */
export interface SharedRecordsOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly place: LogPartition;
  /** The maximum wait of one long-polling read, in milliseconds; a silent connection is noticed after it. */
  readonly readWaitMs: number;
  /** The pause after a read that returned records, in milliseconds; 0 for none. */
  readonly readPauseMs?: number;
  /** The minimum interval between two appends of this host, in milliseconds. */
  readonly appendIntervalMs: number;
  /** Whether records are appended again until the log has taken them. */
  readonly isRetried: boolean;
  /** Called with records of this and other hosts, in their order. */
  readonly onRecords: (records: readonly LogRecord[]) => void;
}

/** Records that all hosts share. */
export class SharedRecords {
  readonly #options: SharedRecordsOptions;
  readonly #follower: LogFollower;
  readonly #stopping = new AbortController();
  #unwritten = new Map<string, Buffer>();
  #isWriting = false;

  constructor(options: SharedRecordsOptions) {
    this.#options = options;
    this.#follower = new LogFollower({
      ...options,
      fromNewest: true,
      waitMs: options.readWaitMs,
      pauseMs: options.readPauseMs ?? 0,
      onSnapshot: options.onRecords,
    });
  }

  /** Starts to follow the records. */
  start(): void {
    this.#follower.start();
  }

  /** Stops following and writing records. */
  stop(): void {
    this.#stopping.abort();
    this.#follower.stop();
  }

  /** Returns the time since the records were last read to their end, in milliseconds. */
  getAgeMs(): number {
    return this.#follower.getAgeMs();
  }

  /**
   * Writes a record with the next append.
   *
   * @param key - The key of the record.
   * @param value - Its value; empty to delete the key.
   */
  setRecord(key: string, value: Buffer): void {
    this.#unwritten.set(key, value);
    if (!this.#isWriting) {
      void this.#write();
    }
  }

  async #write(): Promise<void> {
    const { clock, appendIntervalMs } = this.#options;
    this.#isWriting = true;
    while (this.#unwritten.size > 0 && !this.#stopping.signal.aborted) {
      const records = this.#unwritten;
      this.#unwritten = new Map();
      const isWritten = await this.#append(records);
      if (!isWritten && this.#options.isRetried) {
        // A record that was set meanwhile is newer.
        this.#unwritten = new Map([...records, ...this.#unwritten]);
      }
      await clock.sleep(appendIntervalMs, this.#stopping.signal);
    }
    this.#isWriting = false;
  }

  async #append(records: ReadonlyMap<string, Buffer>): Promise<boolean> {
    const { log, logger, place } = this.#options;
    try {
      await log.append(
        place,
        [...records].map(([key, value]) => ({ key, value })),
      );
      return true;
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      logger.error("record-append-failed", error, {
        topic: place.topic,
        records: records.size,
      });
      return false;
    }
  }
}
