/**
 * Keeps what long samples have generated in the shared log, so that another
 * host goes on from there when this one is lost.
 *
 * Load pattern: all hosts lose power at once while the longest samples of a
 * step are nearly done; made again from the start they would miss its due time.
 * @module
 */
import type { LotId } from "@briarhill/common/ids/ids";
import { LOT_TOPIC } from "@briarhill/platform/names/topics";
import type { LotWork } from "@briarhill/rollout/dispatch/lot_work";
import type { SampleProgress } from "@briarhill/rollout/ledger/lot_request";
import { encodeProgress } from "@briarhill/rollout/ledger/lot_record";
import { randomBytes } from "node:crypto";
import type { LotAppender } from "./lot_appender.ts";

/** How often progress is kept, in milliseconds; what is newer is made again. */
const KEEP_EVERY_MS = 700;
const WRITER_BYTES = 4;
/** Fewer events are sooner generated again than kept while their host lives. */
const MIN_EVENTS = 20;
/** How long the last progress may take to be kept, in milliseconds. */
const LAST_APPEND_MS = 400;

/** Keeps the progress of one lot's samples. */
export class ProgressKeeper {
  readonly #lot: LotId;
  readonly #partition: number;
  readonly #appender: LotAppender;
  readonly #writer = randomBytes(WRITER_BYTES).toString("hex");
  #nextAtMs = 0;

  constructor(lot: LotId, partition: number, appender: LotAppender) {
    this.#lot = lot;
    this.#partition = partition;
    this.#appender = appender;
  }

  /**
   * Keeps what is new, where it is time.
   *
   * @param work - The work on the lot.
   * @param nowMs - The time, on the monotonic clock.
   */
  advance(work: LotWork, nowMs: number): void {
    if (nowMs < this.#nextAtMs) {
      return;
    }
    this.#nextAtMs = nowMs + KEEP_EVERY_MS;
    // One try: a piece that is lost makes the later ones of its sample useless, no more.
    void this.#append(work.takeProgress(MIN_EVENTS), nowMs);
  }

  /**
   * Keeps all that is new, as another host goes on with the work.
   *
   * @param work - The work on the lot.
   * @param nowMs - The time, on the monotonic clock.
   */
  async finish(work: LotWork, nowMs: number): Promise<void> {
    await this.#append(work.takeProgress(1), nowMs + LAST_APPEND_MS);
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
        samples.map((one, index) =>
          encodeProgress(
            { writer: this.#writer, samples: [one] },
            { lot: this.#lot, nonce: `${nonce}${index}` },
          )
        ),
      deadlineMs,
    );
  }
}
