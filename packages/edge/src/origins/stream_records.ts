/**
 * Records in the shared log at which software version streams have begun. A
 * record must be in the log before the first event of its stream leaves.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { LogRecord, SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { STREAM_TOPIC } from "@briarhill/platform/names/topics";
import { FieldReader } from "@briarhill/platform/records/field_reader";
import type { ServiceVersion } from "@briarhill/routing/origins/version_registry";
import { Buffer } from "node:buffer";
import { applyRecords } from "../log/apply_records.ts";
import { LogFollower } from "../log/log_follower.ts";

/** How long a stream can be taken up after it began, in milliseconds; longer than clients wait for a whole stream. */
export const STREAM_RETENTION_MS = 60_000;
/** The minimum interval between two appends of one host, in milliseconds. */
const MIN_APPEND_INTERVAL_MS = 10;
/** The appends per second of all hosts together: half of the rate that the store allows. */
const APPENDS_PER_S = 400;
const MS_PER_S = 1_000;
/** The maximum number of streams that are remembered; the oldest are forgotten first. */
const MAX_STREAMS = 65_536;
const PLACE = { topic: STREAM_TOPIC, partition: 0 };

/** Options of {@link StreamRecords}. */
export interface StreamRecordsOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the number of hosts, which share the appends. */
  readonly countHosts: () => number;
}

interface StreamRecord extends ServiceVersion {
  readonly beganAtMs: number;
}

interface PendingRecord {
  readonly key: string;
  readonly value: Buffer;
  readonly resolve: (isWritten: boolean) => void;
}

/** The software versions at which streams have begun. */
export class StreamRecords {
  readonly #options: StreamRecordsOptions;
  readonly #follower: LogFollower;
  readonly #streams = new Map<string, StreamRecord>();
  #pending: PendingRecord[] = [];
  #isWriting = false;

  constructor(options: StreamRecordsOptions) {
    this.#options = options;
    const onRecords = (records: readonly LogRecord[]) =>
      applyRecords(records, {
        apply: (record) => this.#applyRecord(record),
        logger: options.logger,
      });
    this.#follower = new LogFollower({
      ...options,
      place: PLACE,
      fromNewest: true,
      waitMs: 0,
      pauseMs: 0,
      onSnapshot: onRecords,
      onRecords,
    });
  }

  /**
   * Writes a record and resolves with whether the log has taken it.
   *
   * @param attemptId - The client attempt that begins the stream.
   * @param origin - The service and version at which it begins.
   */
  recordStream(attemptId: string, origin: ServiceVersion): Promise<boolean> {
    const beganAtMs = this.#options.clock.getWallMs();
    const value = Buffer.from(JSON.stringify({ ...origin, beganAtMs }));
    return this.#append(attemptId, value);
  }

  /**
   * Returns the record of a stream, or undefined if it has none. Throws a
   * `PortError` if the log can't be read.
   *
   * @param attemptId - The client attempt that began the stream.
   */
  async findStream(attemptId: string): Promise<ServiceVersion | undefined> {
    await this.#follower.readToEnd();
    return this.#streams.get(attemptId);
  }

  /**
   * Removes the records of streams that can't be taken up any more. A record stays
   * after its stream was sent completely, as the client may not have received it.
   */
  async pruneStreams(): Promise<void> {
    try {
      await this.#follower.readToEnd();
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      this.#options.logger.error("stream-records-unreadable", error);
    }
    const nowMs = this.#options.clock.getWallMs();
    for (const [attemptId, { beganAtMs }] of this.#streams) {
      if (nowMs - beganAtMs > STREAM_RETENTION_MS) {
        void this.#append(attemptId, Buffer.alloc(0));
      }
    }
  }

  #append(key: string, value: Buffer): Promise<boolean> {
    return new Promise((resolve) => {
      this.#pending.push({ key, value, resolve });
      if (!this.#isWriting) {
        void this.#write();
      }
    });
  }

  async #write(): Promise<void> {
    const { clock, countHosts } = this.#options;
    this.#isWriting = true;
    while (this.#pending.length > 0) {
      const batch = this.#pending;
      this.#pending = [];
      const isWritten = await this.#appendBatch(batch);
      batch.forEach(({ resolve }) => resolve(isWritten));
      await clock.sleep(
        Math.max(
          MIN_APPEND_INTERVAL_MS,
          MS_PER_S * countHosts() / APPENDS_PER_S,
        ),
      );
    }
    this.#isWriting = false;
  }

  async #appendBatch(batch: readonly PendingRecord[]): Promise<boolean> {
    const { log, logger } = this.#options;
    try {
      await log.append(PLACE, batch.map(({ key, value }) => ({ key, value })));
      return true;
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      logger.error("record-append-failed", error, {
        topic: PLACE.topic,
        records: batch.length,
      });
      return false;
    }
  }

  #applyRecord({ key, value }: LogRecord): void {
    if (value.length === 0) {
      this.#streams.delete(key);
      return;
    }
    const fields = FieldReader.parse(`the stream "${key}"`, value);
    this.#streams.set(key, {
      service: fields.getText("service"),
      version: fields.getText("version"),
      beganAtMs: fields.getNumber("beganAtMs"),
    });
    const [oldest = ""] = this.#streams.keys();
    if (this.#streams.size > MAX_STREAMS) {
      this.#streams.delete(oldest);
    }
  }
}
