/**
 * Tracks the progress of a response stream across its dials.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";

/** A chunk and its position in the stream. */
export interface PositionedChunk {
  readonly fromToken: number;
  readonly tokens: readonly string[];
}

/**
 * The part of a stream that was received so far. It retains the text for a
 * resumption at another endpoint; each chunk costs one comparison and one
 * addition.
 */
export class StreamProgress {
  readonly #parts: string[] = [];
  #next: number;

  constructor(fromToken: number) {
    this.#next = fromToken;
  }

  /** Returns the offset of the next expected token. */
  get next(): number {
    return this.#next;
  }

  /** Returns the text received so far. */
  getText(): string {
    if (this.#parts.length > 1) {
      this.#parts.splice(0, this.#parts.length, this.#parts.join(""));
    }
    return this.#parts[0] ?? "";
  }

  /**
   * Adds a chunk and returns its new tokens without those received before. Throws
   * a `PortError` on a gap, as the response would be incomplete.
   *
   * @param chunk - The chunk.
   */
  apply(chunk: PositionedChunk): readonly string[] {
    const { fromToken, tokens } = chunk;
    if (fromToken > this.#next) {
      throw new PortError(
        `gap in stream: expected token ${this.#next}, received a chunk from token ${fromToken}`,
        { props: { port: "engine", fault: "incomplete", outcome: "ran" } },
      );
    }
    const added = fromToken === this.#next
      ? tokens
      : tokens.slice(this.#next - fromToken);
    if (added.length > 0) {
      this.#parts.push(added.length === 1 ? added[0] ?? "" : added.join(""));
      this.#next += added.length;
    }
    return added;
  }
}
