/**
 * Shares among all hosts which endpoints ended under which requests. The store
 * keeps the records, so that they outlive all hosts.
 * @module
 */
import type { LogRecord, SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { CRASH_TOPIC } from "@briarhill/platform/names/topics";
import type { CrashHistory } from "@briarhill/routing/crashes/crash_history";
import {
  type CrashRecord,
  formatCrashKey,
} from "@briarhill/routing/crashes/crash_record";
import { Buffer } from "node:buffer";
import { applyRecords } from "../log/apply_records.ts";
import { SharedRecords } from "../log/shared_records.ts";
import { decodeCrash, encodeCrash } from "./crash_codec.ts";

/** Other hosts have to know of an ending before the request comes again. */
const APPEND_INTERVAL_MS = 20;
const READ_WAIT_MS = 700;
/** The interval at which expired records are removed from the store, in milliseconds. */
const PRUNE_INTERVAL_MS = 60_000;

/** Options of {@link SharedCrashes}. */
export interface SharedCrashesOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly history: CrashHistory;
  /** Returns whether this host removes the expired records of a service. */
  readonly isOwner: (service: string) => boolean;
}

/** Shares the endings of endpoints among all hosts. */
export class SharedCrashes {
  readonly #options: SharedCrashesOptions;
  readonly #records: SharedRecords;
  readonly #stopping = new AbortController();

  constructor(options: SharedCrashesOptions) {
    this.#options = options;
    this.#records = new SharedRecords({
      ...options,
      place: { topic: CRASH_TOPIC, partition: 0 },
      readWaitMs: READ_WAIT_MS,
      appendIntervalMs: APPEND_INTERVAL_MS,
      isRetried: true,
      onRecords: (records) =>
        applyRecords(records, {
          apply: (record) => this.#applyRecord(record),
          logger: options.logger,
        }),
    });
  }

  /** Starts to follow the endings that other hosts find. */
  start(): void {
    this.#records.start();
    void this.#runPruning();
  }

  /** Stops following the endings. */
  stop(): void {
    this.#stopping.abort();
    this.#records.stop();
  }

  /**
   * Writes an ending that this host has found.
   *
   * @param record - The ending.
   */
  publishCrash(record: CrashRecord): void {
    this.#records.setRecord(formatCrashKey(record), encodeCrash(record));
  }

  /**
   * Removes endings at all hosts.
   *
   * @param records - The endings.
   */
  removeCrashes(records: readonly CrashRecord[]): void {
    for (const key of records.map(formatCrashKey)) {
      this.#options.history.removeRecord(key);
      this.#records.setRecord(key, Buffer.alloc(0));
    }
  }

  async #runPruning(): Promise<void> {
    const { clock, history, isOwner } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await clock.sleep(PRUNE_INTERVAL_MS, signal);
      this.removeCrashes(
        history.listExpired(clock.getWallMs()).filter(({ service }) =>
          isOwner(service)
        ),
      );
    }
  }

  #applyRecord({ key, value }: LogRecord): void {
    const { history } = this.#options;
    value.length === 0
      ? history.removeRecord(key)
      : history.addRecord(decodeCrash(key, value));
  }
}
