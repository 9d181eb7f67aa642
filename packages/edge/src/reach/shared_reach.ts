/**
 * Shares among all hosts which services each of them has lost. A host writes its
 * record when it starts and when it loses or regains a service; the record of a
 * host that has ended stays until the host is found not to answer.
 * @module
 */
import type { LogRecord, SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { REACH_TOPIC } from "@briarhill/platform/names/topics";
import type { HostReach } from "@briarhill/routing/reach/host_reach";
import { Buffer } from "node:buffer";
import { applyRecords } from "../log/apply_records.ts";
import { SharedRecords } from "../log/shared_records.ts";
import { decodeReach, encodeReach } from "./reach_codec.ts";

const READ_WAIT_MS = 700;
/** Bounds the reads of all hosts while many of them write at once. */
const READ_PAUSE_MS = 200;
const APPEND_INTERVAL_MS = 50;

/** Options of {@link SharedReach}. */
export interface SharedReachOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The IP address of this host. */
  readonly host: string;
  readonly onReach: (reach: HostReach) => void;
  readonly onRemoved: (host: string) => void;
}

/** Shares the services that hosts have lost. */
export class SharedReach {
  readonly #options: SharedReachOptions;
  readonly #records: SharedRecords;
  #published: Buffer | undefined;

  constructor(options: SharedReachOptions) {
    this.#options = options;
    this.#records = new SharedRecords({
      ...options,
      place: { topic: REACH_TOPIC, partition: 0 },
      readWaitMs: READ_WAIT_MS,
      readPauseMs: READ_PAUSE_MS,
      appendIntervalMs: APPEND_INTERVAL_MS,
      isRetried: true,
      onRecords: (records) =>
        applyRecords(records, {
          apply: (record) => this.#applyRecord(record),
          logger: options.logger,
        }),
    });
  }

  /** Starts to follow the records. */
  start(): void {
    this.#records.start();
  }

  /** Stops following and writing records. */
  stop(): void {
    this.#records.stop();
  }

  /** Returns the time since the records were last read to their end, in milliseconds. */
  getAgeMs(): number {
    return this.#records.getAgeMs();
  }

  /**
   * Writes what this host says of itself.
   *
   * @param reach - The services that it has lost.
   */
  publishReach(reach: HostReach): void {
    this.#published = encodeReach(reach);
    this.#records.setRecord(this.#options.host, this.#published);
  }

  /** Removes the record of this host, as it stops. */
  removeOwn(): void {
    this.#published = Buffer.alloc(0);
    this.#records.setRecord(this.#options.host, this.#published);
  }

  #applyRecord({ key, value }: LogRecord): void {
    const { host, onReach, onRemoved } = this.#options;
    if (key === host) {
      return;
    }
    value.length === 0 ? onRemoved(key) : onReach(decodeReach(key, value));
  }
}
