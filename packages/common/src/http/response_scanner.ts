/**
 * Checks the bytes of one response against the grammar of HTTP/1.1. The parsers in
 * use accept more than the grammar, each release of them something else; a reader
 * must get no response, nor an informational one before it, that breaks it.
 * @module
 */
import type { Buffer } from "node:buffer";
import { ChunkScanner } from "./chunk_scanner.ts";
import { CrlfReader } from "./crlf_reader.ts";
import { parseBodyFraming, throwIfEncoded } from "./response_framing.ts";
import {
  type HeaderField,
  parseHeaderField,
  parseStatusLine,
  type StatusLine,
} from "./response_syntax.ts";
import { UnframedBodyScanner } from "./unframed_body_scanner.ts";

const FIRST_FINAL_STATUS = 200;

/** Checks one response, whose bytes arrive in pieces. */
export class ResponseScanner {
  readonly #method: string;
  readonly #lines = new CrlfReader();
  #statusLine: StatusLine | undefined;
  #fields: HeaderField[] = [];
  #isInBody = false;
  #body: ChunkScanner | UnframedBodyScanner | undefined;

  /** @param method - The method of the request. */
  constructor(method: string) {
    this.#method = method;
  }

  /**
   * Checks the next bytes. Throws a `ResponseSyntaxError` at the first fault; the
   * bytes must then not be passed on to a parser.
   *
   * @param bytes - The bytes.
   */
  checkBytes(bytes: Buffer): void {
    let offset = 0;
    while (offset < bytes.length && !this.#isInBody) {
      const read = this.#lines.readLine(bytes, offset);
      offset = read.offset;
      if (read.line !== undefined) {
        this.#checkLine(read.line);
      }
    }
    this.#body?.checkBytes(bytes, offset);
  }

  /** Checks a response whose connection has ended. Throws a `ResponseSyntaxError` if its body is none. */
  finish(): void {
    if (this.#body instanceof UnframedBodyScanner) {
      this.#body.finish();
    }
  }

  #checkLine(line: string): void {
    if (this.#statusLine === undefined) {
      this.#statusLine = parseStatusLine(line);
    } else if (line === "") {
      this.#finishHead(this.#statusLine);
    } else {
      this.#fields.push(parseHeaderField(line));
    }
  }

  #finishHead(statusLine: StatusLine): void {
    const head = { ...statusLine, fields: this.#fields };
    throwIfEncoded(head);
    const { kind } = parseBodyFraming(head, this.#method);
    this.#isInBody = statusLine.status >= FIRST_FINAL_STATUS;
    this.#statusLine = undefined;
    this.#fields = [];
    if (kind === "chunked") {
      this.#body = new ChunkScanner();
    } else if (kind === "connection") {
      this.#body = new UnframedBodyScanner(head);
    }
  }
}
