/**
 * Opens one stream at an engine and reads it. Aborting a dial must leave the
 * stream running at the engine, so that a later dial can resume it.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type {
  Engine,
  GenerateChunk,
  GenerateRequest,
} from "@briarhill/ports/engine/engine";

/** One attempt to read a stream at an engine, which can be aborted or cancelled. */
export class Dial {
  readonly endpoint: EndpointId;
  readonly #iterator: AsyncIterator<GenerateChunk>;
  readonly #cancellation = new AbortController();
  #reject: ((error: unknown) => void) | undefined;
  #interruption: { readonly error: unknown } | undefined;

  constructor(
    endpoint: EndpointId,
    options: { readonly engine: Engine; readonly request: GenerateRequest },
  ) {
    this.endpoint = endpoint;
    const { engine, request } = options;
    this.#iterator = engine.generate(request, this.#cancellation.signal)
      [Symbol.asyncIterator]();
  }

  /** Returns the next chunk, or undefined at the end of the stream. */
  readNext(): Promise<GenerateChunk | undefined> {
    return new Promise((resolve, reject) => {
      if (this.#interruption !== undefined) {
        reject(this.#interruption.error);
        return;
      }
      this.#reject = reject;
      this.#iterator.next().then(
        ({ done, value }) => resolve(done === true ? undefined : value),
        reject,
      );
    });
  }

  /**
   * Stops reading; the stream at the engine continues, so that a new dial can resume it.
   *
   * @param error - The error with which the pending and later reads reject.
   */
  abort(error: unknown): void {
    this.#interruption = { error };
    this.#reject?.(error);
  }

  /**
   * Stops reading and cancels the stream at the engine.
   *
   * @param error - The error with which the pending and later reads reject.
   */
  cancel(error: unknown): void {
    this.abort(error);
    this.#cancellation.abort();
  }
}
