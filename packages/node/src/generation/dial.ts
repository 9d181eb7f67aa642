/**
 * One dial of a stream.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type {
  Engine,
  GenerateChunk,
  GenerateRequest,
} from "@briarhill/ports/engine/engine";

/** One dial of a stream, whose reading can be interrupted. */
export class Dial {
  readonly endpoint: EndpointId;
  readonly #iterator: AsyncIterator<GenerateChunk>;
  readonly #cancelling = new AbortController();
  #reject: ((error: unknown) => void) | undefined;
  #interruption: { readonly error: unknown } | undefined;

  constructor(
    endpoint: EndpointId,
    options: { readonly engine: Engine; readonly request: GenerateRequest },
  ) {
    this.endpoint = endpoint;
    const { engine, request } = options;
    this.#iterator = engine.generate(request, this.#cancelling.signal)
      [Symbol.asyncIterator]();
  }

  /** Returns the next chunk, or undefined at the end. */
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
   * Stops reading; the stream at the engine goes on, for a new dial to resume.
   *
   * @param error - What the reader gets.
   */
  abort(error: unknown): void {
    this.#interruption = { error };
    this.#reject?.(error);
  }

  /**
   * Stops reading and cancels the stream at the engine.
   *
   * @param error - What the reader gets.
   */
  cancel(error: unknown): void {
    this.abort(error);
    this.#cancelling.abort();
  }
}
