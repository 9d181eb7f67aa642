/**
 * Checks the bytes of a body in the chunked coding, trailers included. A parser that
 * does not check the ends of chunks returns another body than the server's.
 * @module
 */
import type { Buffer } from "node:buffer";
import { CrlfReader } from "./crlf_reader.ts";
import { createResponseFault } from "./response_fault.ts";
import { parseHeaderField } from "./response_syntax.ts";

const CHUNK_END = "\r\n";
const SIZE_LINE = /^0*([0-9a-f]{1,13})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?$/i;
/** The maximum size of a chunk size with its extensions, or of a trailer, in bytes. */
const MAX_LINE_BYTES = 16_384;
/** Fields that have no effect once the body has been read, and must not stand behind it. */
const HEAD_FIELDS: ReadonlySet<string> = new Set([
  "content-encoding",
  "content-length",
  "transfer-encoding",
]);

/** Checks one body, whose bytes arrive in pieces. */
export class ChunkScanner {
  readonly #lines = new CrlfReader(MAX_LINE_BYTES);
  #part: "size" | "data" | "data-end" | "trailers" | "complete" = "size";
  /** The bytes of the data, or of its end, that have not arrived. */
  #missingBytes = 0;
  #chunkCount = 0;

  /** Whether the whole body has arrived. */
  get isComplete(): boolean {
    return this.#part === "complete";
  }

  /** Whether the size of a chunk has arrived. */
  get hasChunk(): boolean {
    return this.#chunkCount > 0;
  }

  /**
   * Checks the next part of the body, such as a line, and returns the offset behind
   * it. Throws a `ResponseSyntaxError` if the part is a fault. Bytes behind the body
   * are not checked.
   *
   * @param bytes - The bytes that have arrived.
   * @param offset - The offset of the first byte to check.
   */
  checkPart(bytes: Buffer, offset: number): number {
    switch (this.#part) {
      case "complete":
        return bytes.length;
      case "data":
        return this.#readData(bytes, offset);
      case "data-end":
        return this.#checkDataEnd(bytes, offset);
      default:
        return this.#checkLine(bytes, offset);
    }
  }

  #readData(bytes: Buffer, offset: number): number {
    const count = Math.min(this.#missingBytes, bytes.length - offset);
    this.#missingBytes -= count;
    if (this.#missingBytes === 0) {
      this.#part = "data-end";
      this.#missingBytes = CHUNK_END.length;
    }
    return offset + count;
  }

  /** Checks one byte, as the parser may act on it before the next one arrives. */
  #checkDataEnd(bytes: Buffer, offset: number): number {
    const expected = CHUNK_END.at(-this.#missingBytes);
    const actual = bytes.toString("latin1", offset, offset + 1);
    if (actual !== expected) {
      throw createResponseFault("a chunk that is longer than its size", actual);
    }
    this.#missingBytes--;
    this.#part = this.#missingBytes === 0 ? "size" : "data-end";
    return offset + 1;
  }

  #checkLine(bytes: Buffer, offset: number): number {
    const read = this.#lines.readLine(bytes, offset);
    if (read.line !== undefined) {
      this.#part === "size"
        ? this.#startChunk(read.line)
        : this.#checkTrailer(read.line);
    }
    return read.offset;
  }

  #startChunk(line: string): void {
    const [, digits] = SIZE_LINE.exec(line) ?? [];
    if (digits === undefined) {
      throw createResponseFault("a malformed chunk size", line);
    }
    this.#chunkCount++;
    this.#missingBytes = Number.parseInt(digits, 16);
    this.#part = this.#missingBytes === 0 ? "trailers" : "data";
  }

  #checkTrailer(line: string): void {
    if (line === "") {
      this.#part = "complete";
    } else if (HEAD_FIELDS.has(parseHeaderField(line).name)) {
      throw createResponseFault(
        "a framing or encoding field in the trailers",
        line,
      );
    }
  }
}
