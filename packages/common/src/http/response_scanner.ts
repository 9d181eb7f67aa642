/**
 * Checks the bytes of one response against the grammar of HTTP/1.1. The parsers in
 * use accept more than the grammar allows, and each release of them something else.
 * No response, and no informational one before it, may reach a reader that breaks it.
 * @module
 */
import type { Buffer } from "node:buffer";
import { ResponseSyntaxError } from "../errors/errors.ts";
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

/** What a request allows its response to be. */
export interface ResponseExpectation {
  readonly method: string;
  /** Whether the request accepts encodings of the body; false by default. */
  readonly acceptsEncoding?: boolean;
}

/** Checks one response, whose bytes arrive in pieces. */
export class ResponseScanner {
  readonly #request: ResponseExpectation;
  readonly #lines = new CrlfReader();
  #statusLine: StatusLine | undefined;
  #fields: HeaderField[] = [];
  #isInBody = false;
  #fault: ResponseSyntaxError | undefined;
  #body: ChunkScanner | UnframedBodyScanner | undefined;

  /** @param request - What the request allows its response to be. */
  constructor(request: ResponseExpectation) {
    this.#request = request;
  }

  /** The first fault that was found; nothing that follows it is checked. */
  get fault(): ResponseSyntaxError | undefined {
    return this.#fault;
  }

  /**
   * Checks the next bytes and returns how many of them may be passed on to a parser:
   * all, those of a body before its first fault, or none if the head has a fault.
   *
   * @param bytes - The bytes.
   */
  checkBytes(bytes: Buffer): number {
    let offset = 0;
    this.#recordFault(() => {
      while (offset < bytes.length) {
        offset = this.#checkPart(bytes, offset);
      }
    });
    return this.#fault === undefined || this.#isInBody ? offset : 0;
  }

  /** Checks a response whose connection has ended. */
  finish(): void {
    const body = this.#body;
    if (body instanceof UnframedBodyScanner) {
      this.#recordFault(() => body.finish());
    }
  }

  #recordFault(check: () => void): void {
    try {
      check();
    } catch (error) {
      if (!(error instanceof ResponseSyntaxError)) {
        throw error;
      }
      this.#fault = error;
    }
  }

  /** Returns the offset of the first byte that was not checked. */
  #checkPart(bytes: Buffer, offset: number): number {
    if (this.#isInBody) {
      return this.#body?.checkPart(bytes, offset) ?? bytes.length;
    }
    const read = this.#lines.readLine(bytes, offset);
    if (read.line !== undefined) {
      this.#checkLine(read.line);
    }
    return read.offset;
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
    if (this.#request.acceptsEncoding !== true) {
      throwIfEncoded(head);
    }
    const { kind } = parseBodyFraming(head, this.#request.method);
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
