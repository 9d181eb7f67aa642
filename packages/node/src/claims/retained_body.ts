/**
 * Reads the body of a response to its end, even if its reader stops early, and
 * retains a short body for repeats of the call.
 * @module
 */
import { ChangeNotifier } from "@briarhill/common/time/change_notifier";
import { Buffer } from "node:buffer";

/** Bytes buffered for the reader above which reading from the source pauses. */
const MAX_BUFFERED_BYTES = 1_048_576;
const MAX_RETAINED_BYTES = 4_194_304;

/** A response body that is read to its end, and retained if it is at most 4 MiB long. */
export class RetainedBody {
  readonly #source: AsyncIterable<Uint8Array>;
  readonly #buffered: Uint8Array[] = [];
  #bufferedBytes = 0;
  #retained: Uint8Array[] | undefined = [];
  #retainedBytes = 0;
  #isReaderClosed = false;
  #end: { readonly error?: unknown } | undefined;
  readonly #changes = new ChangeNotifier();

  constructor(source: AsyncIterable<Uint8Array>) {
    this.#source = source;
  }

  /** Reads the source to its end; returns the body, or undefined if it is too long to retain. */
  async run(): Promise<Uint8Array | undefined> {
    try {
      for await (const chunk of this.#source) {
        this.#add(chunk);
        while (
          this.#bufferedBytes > MAX_BUFFERED_BYTES && !this.#isReaderClosed
        ) {
          await this.#changes.wait();
        }
      }
      this.#end = {};
    } catch (error) {
      this.#end = { error };
      throw error;
    } finally {
      this.#changes.announce();
    }
    return this.#retained === undefined
      ? undefined
      : Buffer.concat(this.#retained);
  }

  /** Yields the chunks as they arrive; throws the source's error if the source fails. */
  async *read(): AsyncIterable<Uint8Array> {
    try {
      while (true) {
        const chunk = this.#buffered.shift();
        if (chunk !== undefined) {
          this.#bufferedBytes -= chunk.length;
          this.#changes.announce();
          yield chunk;
        } else if (this.#end === undefined) {
          await this.#changes.wait();
        } else if ("error" in this.#end) {
          throw this.#end.error;
        } else {
          return;
        }
      }
    } finally {
      this.#isReaderClosed = true;
      this.#buffered.length = 0;
      this.#changes.announce();
    }
  }

  #add(chunk: Uint8Array): void {
    if (!this.#isReaderClosed) {
      this.#buffered.push(chunk);
      this.#bufferedBytes += chunk.length;
    }
    this.#retainedBytes += chunk.length;
    if (this.#retainedBytes > MAX_RETAINED_BYTES) {
      this.#retained = undefined;
    }
    this.#retained?.push(chunk);
    this.#changes.announce();
  }
}
