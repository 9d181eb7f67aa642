/**
 * Streams the request body of a call from the caller to the endpoints. Attempts
 * share one read of the source, so that an abandoned attempt can't consume a
 * chunk that its successor needs.
 * @module
 */
import { DeadlineError, InputError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import { waitWithTimeout } from "../calls/timeout.ts";

/** Maximum size of a body that is retained for attempts on other endpoints. */
const MAX_REPLAYABLE_BYTES = 65_536;

/** Limits of a {@link CallBody}. */
export interface CallBodyLimits {
  readonly maxBytes: number;
  /** Maximum wait for the next chunk of the body. */
  readonly receiveTimeoutMs: number;
}

/** The request body of a call, streamed as it arrives; a short one can be replayed. */
export class CallBody {
  readonly #source: AsyncIterator<Uint8Array>;
  readonly #limits: CallBodyLimits;
  readonly #clock: Clock;
  readonly #chunks: Uint8Array[] = [];
  #bytes = 0;
  #isComplete = false;
  #pendingRead: Promise<void> | undefined;
  #attempts = 0;

  constructor(
    source: AsyncIterable<Uint8Array>,
    limits: CallBodyLimits,
    clock: Clock,
  ) {
    this.#source = source[Symbol.asyncIterator]();
    this.#limits = limits;
    this.#clock = clock;
  }

  /** Returns whether the body can still be read from its start. */
  canReplay(): boolean {
    return this.#bytes <= MAX_REPLAYABLE_BYTES;
  }

  /**
   * Yields the body from its start. An attempt that has ended may still wait for
   * a chunk, so all attempts share the pending read and none misses its result.
   */
  async *read(): AsyncIterable<Uint8Array> {
    const attempt = ++this.#attempts;
    let index = 0;
    while (true) {
      const chunk = this.#chunks[index];
      if (chunk !== undefined) {
        index++;
        if (!this.canReplay() && attempt === this.#attempts) {
          // No attempt can replay the body any more: release the chunks already read.
          this.#chunks.splice(0, index);
          index = 0;
        }
        yield chunk;
      } else if (this.#isComplete) {
        return;
      } else {
        this.#pendingRead ??= this.#readChunk();
        await this.#pendingRead;
      }
    }
  }

  async #readChunk(): Promise<void> {
    try {
      const chunk = await this.#readNext();
      if (chunk === undefined) {
        this.#isComplete = true;
        return;
      }
      this.#bytes += chunk.length;
      this.#throwIfTooLarge();
      this.#chunks.push(chunk);
    } finally {
      this.#pendingRead = undefined;
    }
  }

  async #readNext(): Promise<Uint8Array | undefined> {
    const { done, value } = await waitWithTimeout(this.#clock, {
      promise: this.#source.next(),
      maxWaitMs: this.#limits.receiveTimeoutMs,
      createError: () =>
        new DeadlineError(
          "the next chunk of the request body did not arrive within the time limit",
          {
            props: { outcome: "unknown" },
          },
        ),
    });
    return done === true ? undefined : value;
  }

  #throwIfTooLarge(): void {
    const { maxBytes } = this.#limits;
    if (this.#bytes > maxBytes) {
      throw new InputError(
        `the request body is larger than ${maxBytes} bytes, the maximum`,
        { props: { outcome: "unknown" } },
      );
    }
  }
}
