/**
 * Splits the bytes of an HTTP message into lines. A line ends with CR and LF, and
 * neither occurs anywhere else: readers differ on where such a line ends.
 * @module
 */
import type { Buffer } from "node:buffer";
import { createResponseFault } from "./response_fault.ts";

const LF = 0x0a;
const LINE_END = "\r\n";
const BARE_CR = /\r[^\n]/;
/** The default maximum size of a line, in bytes; the parsers in use reject heads that are far smaller. */
const MAX_LINE_BYTES = 262_144;

/** What {@link CrlfReader.readLine} has read. */
export interface LineRead {
  /** The line without its end; undefined if more bytes are needed. */
  readonly line: string | undefined;
  /** The offset of the first byte that was not read. */
  readonly offset: number;
}

/** Reads lines from bytes that arrive in pieces. */
export class CrlfReader {
  readonly #maxLineBytes: number;
  #text = "";

  /** @param maxLineBytes - The maximum size of a line, in bytes. */
  constructor(maxLineBytes: number = MAX_LINE_BYTES) {
    this.#maxLineBytes = maxLineBytes;
  }

  /**
   * Reads to the end of the line. Throws a `ResponseSyntaxError` if the line holds a
   * CR or an LF that is not a part of its end, or is too long.
   *
   * @param bytes - The bytes that have arrived.
   * @param offset - The offset of the first byte to read.
   */
  readLine(bytes: Buffer, offset: number): LineRead {
    const lfAt = bytes.indexOf(LF, offset);
    const end = lfAt < 0 ? bytes.length : lfAt + 1;
    const added = bytes.toString("latin1", offset, end);
    const last = this.#text.at(-1) ?? "";
    this.#text += added;
    if (BARE_CR.test(last + added) || this.#text.length > this.#maxLineBytes) {
      throw createResponseFault("a line without CR and LF", this.#text);
    }
    return { line: lfAt < 0 ? undefined : this.#takeLine(), offset: end };
  }

  #takeLine(): string {
    const text = this.#text;
    this.#text = "";
    if (!text.endsWith(LINE_END)) {
      throw createResponseFault("a line without CR and LF", text);
    }
    return text.slice(0, -LINE_END.length);
  }
}
