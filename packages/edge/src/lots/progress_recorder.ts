/**
 * Appends the progress of long samples to the shared log, so that another host
 * can continue them after the loss of this one.
 *
 * Load pattern: all hosts lose power at once while the longest samples of a
 * step are nearly done; regenerated from the start, they would miss the step's
 * deadline.
 * @module
 */
import type { LotId } from "@briarhill/common/ids/ids";
import { LOT_TOPIC } from "@briarhill/platform/names/topics";
import type { LotTasks } from "@briarhill/rollout/dispatch/lot_tasks";
import type { SampleProgress } from "@briarhill/rollout/ledger/lot_request";
import { encodeProgress } from "@briarhill/rollout/ledger/lot_record";
import { randomBytes } from "node:crypto";
import type { LotAppender } from "./lot_appender.ts";

/** Interval between appends of progress, in milliseconds; events after the last append are generated again. */
const APPEND_INTERVAL_MS = 700;
const WRITER_ID_BYTES = 4;
/** Minimum number of new events for an append while the host runs; fewer are cheaper to generate again. */
const MIN_EVENTS = 20;
/** Timeout for appending the last progress when the host releases a lot, in milliseconds. */
const FINAL_APPEND_TIMEOUT_MS = 400;

/** Records the progress of one lot's samples in the shared log. */
export class ProgressRecorder {
  readonly #lot: LotId;
  readonly #partition: number;
  readonly #appender: LotAppender;
  readonly #writer = randomBytes(WRITER_ID_BYTES).toString("hex");
  #nextAtMs = 0;

  constructor(lot: LotId, partition: number, appender: LotAppender) {
    this.#lot = lot;
    this.#partition = partition;
    this.#appender = appender;
  }

  /**
   * Appends new progress if the interval has passed.
   *
   * @param work - The tasks of the lot.
   * @param nowMs - The current time on the monotonic clock.
   */
  advance(work: LotTasks, nowMs: number): void {
    if (nowMs < this.#nextAtMs) {
      return;
    }
    this.#nextAtMs = nowMs + APPEND_INTERVAL_MS;
    // One try is enough: a lost chunk only makes the later chunks of its sample unusable.
    void this.#append(work.takeProgress(MIN_EVENTS), nowMs);
  }

  /**
   * Appends all new progress before another host continues the lot.
   *
   * @param work - The tasks of the lot.
   * @param nowMs - The current time on the monotonic clock.
   */
  async finish(work: LotTasks, nowMs: number): Promise<void> {
    await this.#append(work.takeProgress(1), nowMs + FINAL_APPEND_TIMEOUT_MS);
  }

  async #append(
    samples: readonly SampleProgress[],
    deadlineMs: number,
  ): Promise<void> {
    if (samples.length === 0) {
      return;
    }
    await this.#appender.append(
      { topic: LOT_TOPIC, partition: this.#partition },
      (nonce) =>
        samples.map((sample, index) =>
          encodeProgress(
            { writer: this.#writer, samples: [sample] },
            { lot: this.#lot, nonce: `${nonce}${index}` },
          )
        ),
      deadlineMs,
    );
  }
}
