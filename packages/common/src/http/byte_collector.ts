/**
 * Collects the chunks of a body. Chunks may be as small as one byte, and each
 * takes some hundred bytes and holds a buffer of the connection, so that many
 * small ones are copied into one.
 * @module
 */
import { Buffer } from "node:buffer";

/** The number of chunks that are held before they are copied into one. */
const MAX_CHUNKS = 256;

/** Collects the chunks of a body. */
export class ByteCollector {
  readonly #blocks: Buffer[] = [];
  #chunks: Buffer[] = [];
  #byteCount = 0;

  /** The number of bytes collected so far. */
  get byteCount(): number {
    return this.#byteCount;
  }

  /**
   * Adds a chunk.
   *
   * @param chunk - The chunk.
   */
  addChunk(chunk: Buffer): void {
    this.#byteCount += chunk.length;
    this.#chunks.push(chunk);
    if (this.#chunks.length >= MAX_CHUNKS) {
      this.#blocks.push(Buffer.concat(this.#chunks));
      this.#chunks = [];
    }
  }

  /** Discards what was collected. */
  clear(): void {
    this.#blocks.length = 0;
    this.#chunks = [];
    this.#byteCount = 0;
  }

  /** Returns all bytes. */
  toBuffer(): Buffer {
    return Buffer.concat([...this.#blocks, ...this.#chunks]);
  }
}
