/**
 * Collects the chunks of a body. Chunks may be as small as one byte, and each
 * takes some hundred bytes and holds a buffer of the connection, so that many
 * small ones are copied into one.
 * @module
 */
import { Buffer } from "node:buffer";

/** The number of chunks that are held before they are copied into one. */
const MAX_CHUNKS = 256;
/** The bytes of buffers around the chunks that are held before they are copied, in bytes: two reads of a connection. */
const MAX_SLACK_BYTES = 131_072;

/** Collects the chunks of a body. */
export class ByteCollector {
  readonly #blocks: Buffer[] = [];
  #chunks: Buffer[] = [];
  #byteCount = 0;
  #chunkBytes = 0;
  /** The size of the buffers that the chunks are parts of. */
  #bufferBytes = 0;

  /** The number of bytes collected so far. */
  get byteCount(): number {
    return this.#byteCount;
  }

  /** The number of bytes that are held: those collected, and the rest of the buffers that they are parts of. */
  get heldBytes(): number {
    return this.#byteCount - this.#chunkBytes + this.#bufferBytes;
  }

  /**
   * Adds a chunk.
   *
   * @param chunk - The chunk.
   */
  addChunk(chunk: Buffer): void {
    // Consecutive chunks of one read are parts of the same buffer.
    if (this.#chunks.at(-1)?.buffer !== chunk.buffer) {
      this.#bufferBytes += chunk.buffer.byteLength;
    }
    this.#byteCount += chunk.length;
    this.#chunkBytes += chunk.length;
    this.#chunks.push(chunk);
    const slackBytes = this.#bufferBytes - this.#chunkBytes;
    if (this.#chunks.length >= MAX_CHUNKS || slackBytes > MAX_SLACK_BYTES) {
      this.#blocks.push(Buffer.concat(this.#chunks));
      this.#clearChunks();
    }
  }

  /** Discards what was collected. */
  clear(): void {
    this.#blocks.length = 0;
    this.#byteCount = 0;
    this.#clearChunks();
  }

  /** Returns all bytes. */
  toBuffer(): Buffer {
    return Buffer.concat([...this.#blocks, ...this.#chunks]);
  }
  #clearChunks(): void {
    this.#chunks = [];
    this.#chunkBytes = 0;
    this.#bufferBytes = 0;
  }
}
