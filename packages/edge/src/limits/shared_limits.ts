/**
 * Shares the limits of endpoints among all hosts through the shared log, so that
 * a host knows them before it has sent its first request. The owner of a service's
 * permits writes them; all hosts follow them.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { LogRecord, SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { LIMIT_TOPIC } from "@briarhill/platform/names/topics";
import { Buffer } from "node:buffer";
import { SharedRecords } from "../log/shared_records.ts";
import { decodeLimit, encodeLimit } from "./limit_record.ts";
import type { ObservedLimits } from "./observed_limits.ts";
import type { LimitReport } from "./permit_message.ts";

/** The maximum wait of one long-polling read, in milliseconds. */
const MAX_READ_WAIT_MS = 5_000;
/** The minimum interval between two appends of this host, in milliseconds; limits that flap are written once an interval. */
const APPEND_INTERVAL_MS = 500;

/** Options of {@link SharedLimits}. */
export interface SharedLimitsOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly limits: ObservedLimits;
}

/** Writes the limits of endpoints to the shared log, and applies those that other hosts have written. */
export class SharedLimits {
  readonly #options: SharedLimitsOptions;
  readonly #records: SharedRecords;

  constructor(options: SharedLimitsOptions) {
    this.#options = options;
    this.#records = new SharedRecords({
      ...options,
      place: { topic: LIMIT_TOPIC, partition: 0 },
      readWaitMs: MAX_READ_WAIT_MS,
      appendIntervalMs: APPEND_INTERVAL_MS,
      // Hosts that a lost record does not reach learn of the limit from responses.
      isRetried: false,
      onRecords: (records) => this.#applyRecords(records),
    });
  }

  /** Starts to follow the limits of other hosts. */
  start(): void {
    this.#records.start();
  }

  /** Stops following the limits of other hosts. */
  stop(): void {
    this.#records.stop();
  }

  /**
   * Writes a limit that has been set, changed or ended.
   *
   * @param service - The service of the endpoint.
   * @param limit - The limit.
   */
  publishLimit(service: string, limit: LimitReport): void {
    const { endpoint, startedAtMs, ratePerS } = limit;
    this.#records.setRecord(
      endpoint,
      ratePerS === undefined
        ? Buffer.alloc(0)
        : encodeLimit({ service, startedAtMs, ratePerS }),
    );
  }

  #applyRecords(records: readonly LogRecord[]): void {
    const { limits, logger } = this.#options;
    for (const { key, value } of records) {
      try {
        if (value.length === 0) {
          limits.removeSharedLimit(key);
        } else {
          const { startedAtMs, ratePerS } = decodeLimit(value);
          limits.addSharedLimit({ id: key, startedAtMs }, ratePerS);
        }
      } catch (error) {
        if (!(error instanceof InputError)) {
          throw error;
        }
        logger.error("limit-record-invalid", error, { endpoint: key });
      }
    }
  }
}
