/**
 * Appends the records of lots, again where an append may have been lost.
 * Every append has a key of its own and the first record counts, so that a
 * repeat changes nothing.
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

/** The pause before an append is repeated, in milliseconds. */
const RETRY_PAUSE_MS = 150;
const NONCE_BYTES = 6;

/** What became of records: "unknown" where they may still appear. */
export type AppendOutcome = "appended" | "not-run" | "unknown";

/** Records of one append, made anew for each try. */
export type RecordMaker = (nonce: string) => readonly NewLogRecord[];

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
   * Appends records until the log has taken them or the time is up.
   *
   * @param place - The partition.
   * @param createRecords - Makes the records of one try.
   * @param deadlineMs - When to give up, on the monotonic clock.
   */
  async append(
    place: LogPartition,
    createRecords: RecordMaker,
    deadlineMs: number,
  ): Promise<AppendOutcome> {
    let outcome: AppendOutcome = "not-run";
    do {
      try {
        const nonce = randomBytes(NONCE_BYTES).toString("hex");
        await this.#log.append(place, createRecords(nonce));
        return "appended";
      } catch (error) {
        if (!(error instanceof PortError)) {
          throw error;
        }
        outcome = error.outcome === "not-run" ? outcome : "unknown";
        this.#logger.error("lot-append-failed", error, {
          topic: place.topic,
          partition: place.partition,
          outcome: error.outcome,
        });
      }
      await this.#clock.sleep(RETRY_PAUSE_MS);
    } while (this.#clock.getMonotonicMs() < deadlineMs);
    return outcome;
  }
}
