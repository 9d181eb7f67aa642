/**
 * Validates the order of the chunks of one generate stream. The tokens that it
 * returns must be contiguous from the first requested token.
 * @module
 */
import { PortError, type PortFault } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import type { GenerateChunk, GenerateRequest } from "./engine.ts";

/**
 * Tracks the position in one stream; removes repeated tokens and rejects gaps.
 */
export class ChunkSequence {
  readonly #request: GenerateRequest;
  #nextToken: number;
  #finished = false;

  constructor(request: GenerateRequest) {
    this.#request = request;
    this.#nextToken = request.fromToken;
  }

  /**
   * Returns the new part of a chunk, or undefined if the chunk adds nothing.
   * Throws a {@link PortError} if the chunk belongs to another request, leaves
   * a gap, or adds tokens after the finish reason.
   *
   * @param chunk - The chunk as received.
   */
  apply(chunk: GenerateChunk): GenerateChunk | undefined {
    if (chunk.requestId !== this.#request.requestId) {
      throw this.#createError(
        `received a chunk of request "${chunk.requestId}"`,
        "malformed",
      );
    }
    if (chunk.fromToken > this.#nextToken) {
      throw this.#createError(
        `expected token ${this.#nextToken}, but the next chunk starts at token ${chunk.fromToken}`,
        "incomplete",
      );
    }
    const repeatedTokens = this.#nextToken - chunk.fromToken;
    const tokens = repeatedTokens === 0
      ? chunk.tokens
      : chunk.tokens.slice(repeatedTokens);
    if (this.#finished) {
      return this.#checkAfterFinish(tokens);
    }
    const fromToken = this.#nextToken;
    const isNew = tokens.length > 0 || this.#isNewFinish(chunk);
    this.#nextToken += tokens.length;
    this.#finished ||= chunk.finishReason !== undefined;
    if (!isNew) {
      return undefined;
    }
    return repeatedTokens === 0 ? chunk : { ...chunk, fromToken, tokens };
  }

  /** Returns whether the chunk with the finish reason has been received. */
  isFinished(): boolean {
    return this.#finished;
  }

  /** Returns "ran" once a new token has been received, otherwise "unknown". */
  getOutcome(): Outcome {
    return this.#nextToken > this.#request.fromToken ? "ran" : "unknown";
  }

  /**
   * Throws a {@link PortError} unless the chunk with the finish reason has been
   * received.
   */
  throwIfUnfinished(): void {
    if (!this.#finished) {
      throw this.#createError(
        `the stream ended before token ${this.#nextToken} without a finish reason`,
        "incomplete",
      );
    }
  }

  #checkAfterFinish(tokens: readonly string[]): undefined {
    if (tokens.length > 0) {
      throw this.#createError(
        "received tokens after the finish reason",
        "malformed",
      );
    }
  }

  #isNewFinish(chunk: GenerateChunk): boolean {
    const endToken = chunk.fromToken + chunk.tokens.length;
    return chunk.finishReason !== undefined && endToken === this.#nextToken;
  }

  #createError(message: string, fault: PortFault): PortError {
    const outcome: Outcome = "ran";
    return new PortError(`request "${this.#request.requestId}": ${message}`, {
      props: { port: "engine", operation: "generate", fault, outcome },
    });
  }
}
