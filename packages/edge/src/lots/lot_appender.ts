/**
 * Appends the records of lots and retries appends that may have been lost.
 * Each attempt to append has its own key and readers apply only the first
 * record, so a retry has no further effect.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type {
  LogPartition,
  NewLogRecord,
  SharedLog,
} from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { randomBytes } from "node:crypto";

/** Delay before an append is retried, in milliseconds. */
const RETRY_PAUSE_MS = 150;
const NONCE_BYTES = 6;

/** Outcome of an append; "unknown" if the records may still appear in the log. */
export type AppendOutcome = "appended" | "not-run" | "unknown";

/** Creates the records of one append; called anew for each retry. */
export type RecordFactory = (nonce: string) => readonly NewLogRecord[];

/** Appends the records of lots. */
export class LotAppender {
  readonly #log: SharedLog;
  readonly #clock: Clock;
  readonly #logger: Logger;

  constructor(log: SharedLog, clock: Clock, logger: Logger) {
    this.#log = log;
    this.#clock = clock;
    this.#logger = logger;
  }

  /**
   * Appends records, retrying until the log has accepted them or the deadline has passed.
   *
   * @param logPartition - The partition to append to.
   * @param createRecords - Creates the records for one try.
   * @param deadlineMs - The deadline for the last try, on the monotonic clock.
   */
  async append(
    logPartition: LogPartition,
    createRecords: RecordFactory,
    deadlineMs: number,
  ): Promise<AppendOutcome> {
    let outcome: AppendOutcome = "not-run";
    do {
      try {
        const nonce = randomBytes(NONCE_BYTES).toString("hex");
        await this.#log.append(logPartition, createRecords(nonce));
        return "appended";
      } catch (error) {
        if (!(error instanceof PortError)) {
          throw error;
        }
        outcome = error.outcome === "not-run" ? outcome : "unknown";
        this.#logger.error("lot-append-failed", error, {
          topic: logPartition.topic,
          partition: logPartition.partition,
          outcome: error.outcome,
        });
      }
      await this.#clock.sleep(RETRY_PAUSE_MS);
    } while (this.#clock.getMonotonicMs() < deadlineMs);
    return outcome;
  }
}
