/**
 * Settles finished samples by appending their results to the shared log in
 * batches. A result is settled only when it is read back from the log.
 * @module
 */
import type { LotId } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import { encodeResults } from "@briarhill/rollout/ledger/lot_record";
import { LOT_TOPIC } from "@briarhill/platform/names/topics";
import type { SampleResult } from "@briarhill/rollout/ledger/lot_request";
import type { LotAppender } from "./lot_appender.ts";

/** How long results are collected into a batch before an append, in milliseconds; trainers read about twice a second. */
const BATCH_DELAY_MS = 60;
/** Maximum size of the texts in one record, in bytes. */
const MAX_BATCH_BYTES = 120_000;
/** Timeout of one append with its retries, in milliseconds; after it the results are queued again. */
const APPEND_TIMEOUT_MS = 1_000;

/** Settles the results of one lot. */
export class ResultSettler {
  readonly #lot: LotId;
  readonly #partition: number;
  readonly #appender: LotAppender;
  readonly #clock: Clock;
  readonly #isOpen: () => boolean;
  #pending: SampleResult[] = [];
  #isRunning = false;

  constructor(options: {
    readonly lot: LotId;
    readonly partition: number;
    readonly appender: LotAppender;
    readonly clock: Clock;
    /** Returns whether results of the lot are still needed. */
    readonly isOpen: () => boolean;
  }) {
    this.#lot = options.lot;
    this.#partition = options.partition;
    this.#appender = options.appender;
    this.#clock = options.clock;
    this.#isOpen = options.isOpen;
  }

  /**
   * Adds a result to the next batch.
   *
   * @param result - The result.
   */
  addResult(result: SampleResult): void {
    this.#pending.push(result);
    if (!this.#isRunning) {
      this.#isRunning = true;
      void this.#run();
    }
  }

  async #run(): Promise<void> {
    while (this.#pending.length > 0 && this.#isOpen()) {
      await this.#clock.sleep(BATCH_DELAY_MS);
      const batch = this.#takeBatch();
      const outcome = await this.#appender.append(
        { topic: LOT_TOPIC, partition: this.#partition },
        (nonce) => [encodeResults(batch, { lot: this.#lot, nonce })],
        this.#clock.getMonotonicMs() + APPEND_TIMEOUT_MS,
      );
      if (outcome !== "appended") {
        this.#pending = [...batch, ...this.#pending];
      }
    }
    this.#isRunning = false;
  }

  #takeBatch(): readonly SampleResult[] {
    let bytes = 0;
    let count = 0;
    for (const { text } of this.#pending) {
      bytes += text.length;
      if (count > 0 && bytes > MAX_BATCH_BYTES) {
        break;
      }
      count++;
    }
    return this.#pending.splice(0, count);
  }
}
