/**
 * Settles finished samples: their results go into the shared log in batches,
 * and count once they are read from there.
 * @module
 */
import type { LotId } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import { encodeResults } from "@briarhill/rollout/ledger/lot_record";
import { LOT_TOPIC } from "@briarhill/platform/names/topics";
import type { SampleResult } from "@briarhill/rollout/ledger/lot_request";
import type { LotAppender } from "./lot_appender.ts";

/** How long results gather before they are appended, in milliseconds; trainers read about twice a second. */
const GATHER_MS = 60;
/** The most bytes of text in one record. */
const MAX_BATCH_BYTES = 120_000;
/** How long one append is tried, in milliseconds; the results stay in line after that. */
const APPEND_BOUND_MS = 1_000;

/** Settles the results of one lot. */
export class ResultSettler {
  readonly #lot: LotId;
  readonly #partition: number;
  readonly #appender: LotAppender;
  readonly #clock: Clock;
  readonly #isOpen: () => boolean;
  #waiting: SampleResult[] = [];
  #isRunning = false;

  constructor(options: {
    readonly lot: LotId;
    readonly partition: number;
    readonly appender: LotAppender;
    readonly clock: Clock;
    /** Whether results of the lot are still wanted. */
    readonly isOpen: () => boolean;
  }) {
    this.#lot = options.lot;
    this.#partition = options.partition;
    this.#appender = options.appender;
    this.#clock = options.clock;
    this.#isOpen = options.isOpen;
  }

  /**
   * Adds a result to those that are settled next.
   *
   * @param result - The result.
   */
  addResult(result: SampleResult): void {
    this.#waiting.push(result);
    if (!this.#isRunning) {
      this.#isRunning = true;
      void this.#run();
    }
  }

  async #run(): Promise<void> {
    while (this.#waiting.length > 0 && this.#isOpen()) {
      await this.#clock.sleep(GATHER_MS);
      const batch = this.#takeBatch();
      const outcome = await this.#appender.append(
        { topic: LOT_TOPIC, partition: this.#partition },
        (nonce) => [encodeResults(batch, { lot: this.#lot, nonce })],
        this.#clock.getMonotonicMs() + APPEND_BOUND_MS,
      );
      if (outcome !== "appended") {
        this.#waiting = [...batch, ...this.#waiting];
      }
    }
    this.#isRunning = false;
  }

  #takeBatch(): readonly SampleResult[] {
    let bytes = 0;
    let count = 0;
    for (const { text } of this.#waiting) {
      bytes += text.length;
      if (count > 0 && bytes > MAX_BATCH_BYTES) {
        break;
      }
      count++;
    }
    return this.#waiting.splice(0, count);
  }
}
