/**
 * Checks the bytes of one response against the grammar of HTTP/1.1. The parsers in
 * use accept more than the grammar, each release of them something else; a reader
 * must get no response, nor an informational one before it, that breaks it.
 * @module
 */
import type { Buffer } from "node:buffer";
import { CrlfReader } from "./crlf_reader.ts";
import { parseHeaderField, parseStatusLine } from "./response_syntax.ts";

const FIRST_FINAL_STATUS = 200;

/** Checks one response, whose bytes arrive in pieces. */
export class ResponseScanner {
  readonly #lines = new CrlfReader();
  #part: "status-line" | "fields" | "body" = "status-line";
  #status = 0;

  /**
   * Checks the next bytes. Throws a `ResponseSyntaxError` at the first fault; the
   * bytes must then not be passed on to a parser.
   *
   * @param bytes - The bytes.
   */
  checkBytes(bytes: Buffer): void {
    let offset = 0;
    while (offset < bytes.length && this.#part !== "body") {
      const read = this.#lines.readLine(bytes, offset);
      offset = read.offset;
      if (read.line !== undefined) {
        this.#checkLine(read.line);
      }
    }
  }

  #checkLine(line: string): void {
    if (this.#part === "status-line") {
      this.#status = parseStatusLine(line).status;
      this.#part = "fields";
    } else if (line === "") {
      const isFinal = this.#status >= FIRST_FINAL_STATUS;
      this.#part = isFinal ? "body" : "status-line";
    } else {
      parseHeaderField(line);
    }
  }
}
