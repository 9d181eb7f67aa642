/**
 * Checks that the chunks of one stream follow each other.
 * @module
 */
import { PortError, type PortFault } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import type { GenerateChunk, GenerateRequest } from "./engine.ts";

/** The chunks of one stream so far: repeated tokens are cut off, gaps are errors. */
export class ChunkSequence {
  readonly #request: GenerateRequest;
  #next: number;
  #finished = false;

  constructor(request: GenerateRequest) {
    this.#request = request;
    this.#next = request.fromToken;
  }

  /**
   * Returns the part of a chunk that is new, or undefined when none is; fails
   * with a {@link PortError} when the chunk does not belong here.
   *
   * @param chunk - The chunk as it arrived.
   */
  apply(chunk: GenerateChunk): GenerateChunk | undefined {
    if (chunk.requestId !== this.#request.requestId) {
      throw this.#createError(
        `the stream is of request "${chunk.requestId}"`,
        "malformed",
      );
    }
    if (chunk.fromToken > this.#next) {
      throw this.#createError(
        `tokens from ${this.#next} to ${chunk.fromToken} are missing`,
        "incomplete",
      );
    }
    const repeated = this.#next - chunk.fromToken;
    const tokens = repeated === 0 ? chunk.tokens : chunk.tokens.slice(repeated);
    if (this.#finished) {
      return this.#checkRepeated(tokens);
    }
    const fromToken = this.#next;
    const isNew = tokens.length > 0 || this.#isNewEnd(chunk);
    this.#next += tokens.length;
    this.#finished ||= chunk.finishReason !== undefined;
    if (!isNew) {
      return undefined;
    }
    return repeated === 0 ? chunk : { ...chunk, fromToken, tokens };
  }

  /** Tells whether the last chunk has arrived. */
  isFinished(): boolean {
    return this.#finished;
  }

  /** Returns what the chunks so far say of the request. */
  getOutcome(): Outcome {
    return this.#next > this.#request.fromToken ? "ran" : "unknown";
  }

  /** Fails unless the last chunk has arrived. */
  throwIfUnfinished(): void {
    if (!this.#finished) {
      throw this.#createError(
        `the stream ended after token ${this.#next} without a finish reason`,
        "incomplete",
      );
    }
  }

  #checkRepeated(tokens: readonly string[]): undefined {
    if (tokens.length > 0) {
      throw this.#createError("tokens follow the last chunk", "malformed");
    }
  }

  #isNewEnd(chunk: GenerateChunk): boolean {
    const end = chunk.fromToken + chunk.tokens.length;
    return chunk.finishReason !== undefined && end === this.#next;
  }

  #createError(message: string, fault: PortFault): PortError {
    const outcome: Outcome = "ran";
    return new PortError(`request "${this.#request.requestId}": ${message}`, {
      props: { port: "engine", operation: "generate", fault, outcome },
    });
  }
}
