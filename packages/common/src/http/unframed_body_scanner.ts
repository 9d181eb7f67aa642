/**
 * Checks bodies that end with their connection. If `Transfer-Encoding` is lost or
 * misspelled, the chunks of a body would be returned with their sizes;
 * docs/incidents/malformed_responses.md says what distinguishes such a body.
 * @module
 */
import type { Buffer } from "node:buffer";
import { ResponseSyntaxError } from "../errors/errors.ts";
import { ChunkScanner } from "./chunk_scanner.ts";
import { createResponseFault } from "./response_fault.ts";
import type { ResponseHead } from "./response_framing.ts";

const CODING_FIELD = "transfer-encoding";
const MAX_MISSPELLED_CHARACTERS = 2;
const EVENT_STREAM = /^text\/event-stream\b/i;

/** Checks one body, whose bytes arrive in pieces. */
export class UnframedBodyScanner {
  readonly #isEventStream: boolean;
  /** Undefined once the body is known to hold other bytes than chunks. */
  #chunks: ChunkScanner | undefined = new ChunkScanner();
  #hasBegun = false;

  /**
   * @param head - The head of the response. Throws a `ResponseSyntaxError` if it
   * names chunks declared by a misspelled field.
   */
  constructor(head: ResponseHead) {
    throwIfMisspelled(head);
    this.#isEventStream = head.fields.some(({ name, value }) =>
      name === "content-type" && EVENT_STREAM.test(value)
    );
  }

  /**
   * Checks the next bytes and returns the offset behind them. Throws a
   * `ResponseSyntaxError` if an event stream begins with a chunk size, which is no
   * line of one.
   *
   * @param bytes - The bytes that have arrived.
   * @param offset - The offset of the first byte to check.
   */
  checkPart(bytes: Buffer, offset: number): number {
    if (!this.#hasBegun && !isHexDigit(bytes[offset])) {
      this.#chunks = undefined;
    }
    this.#hasBegun = true;
    this.#readChunks(bytes, offset);
    if (this.#isEventStream && this.#chunks?.hasChunk === true) {
      throw createUndeclaredChunksFault();
    }
    return bytes.length;
  }

  /** Throws a `ResponseSyntaxError` if the body consists of chunks up to the last one. */
  finish(): void {
    if (this.#chunks?.isComplete === true) {
      throw createUndeclaredChunksFault();
    }
  }

  #readChunks(bytes: Buffer, offset: number): void {
    try {
      for (let next = offset; next < bytes.length;) {
        next = this.#chunks?.checkPart(bytes, next) ?? bytes.length;
      }
    } catch (error) {
      if (!(error instanceof ResponseSyntaxError)) {
        throw error;
      }
      // Bytes that are no chunks are what a sound body consists of.
      this.#chunks = undefined;
    }
  }
}

function throwIfMisspelled({ fields }: ResponseHead): void {
  for (const { name, value } of fields) {
    if (value.toLowerCase() === "chunked" && isMisspelledCoding(name)) {
      throw createResponseFault("chunks declared by a misspelled field", name);
    }
  }
}

/** Returns whether a name differs from that of the field by a few characters, or one is missing or added. */
function isMisspelledCoding(name: string): boolean {
  if (name.length === CODING_FIELD.length) {
    const differing = [...name].filter((character, index) =>
      character !== CODING_FIELD[index]
    );
    return differing.length <= MAX_MISSPELLED_CHARACTERS;
  }
  return hasOneMore(CODING_FIELD, name) || hasOneMore(name, CODING_FIELD);
}

/** Returns whether a text becomes another one without one of its characters. */
function hasOneMore(text: string, other: string): boolean {
  return [...text].some((_, index) =>
    text.slice(0, index) + text.slice(index + 1) === other
  );
}

function isHexDigit(byte: number | undefined): boolean {
  return byte !== undefined && /[0-9a-f]/i.test(String.fromCharCode(byte));
}

function createUndeclaredChunksFault(): ResponseSyntaxError {
  return createResponseFault("chunks that the head does not declare", "");
}
