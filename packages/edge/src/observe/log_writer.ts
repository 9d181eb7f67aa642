/**
 * Writes log lines without ever waiting for their reader.
 * @module
 */
import { Buffer } from "node:buffer";
import { write } from "node:fs";

const STDOUT = 1;
/** Lines beyond this are dropped and counted, in bytes. */
const MAX_BUFFERED_BYTES = 262_144;

/** Writes lines to standard output in the background; drops and counts what exceeds its buffer. */
export class LogWriter {
  #lines: string[] = [];
  #bytes = 0;
  #dropped = 0;
  #isWriting = false;

  /**
   * Writes a line.
   *
   * @param line - The line, without its end.
   */
  writeLine(line: string): void {
    if (this.#bytes + line.length > MAX_BUFFERED_BYTES) {
      this.#dropped++;
      return;
    }
    this.#lines.push(line);
    this.#bytes += line.length;
    if (!this.#isWriting) {
      this.#isWriting = true;
      setImmediate(() => this.#writeWaiting());
    }
  }

  #writeWaiting(): void {
    if (this.#lines.length === 0) {
      this.#isWriting = false;
      return;
    }
    if (this.#dropped > 0) {
      this.#lines.push(
        JSON.stringify({ event: "log-lines-dropped", count: this.#dropped }),
      );
      this.#dropped = 0;
    }
    const text = Buffer.from(this.#lines.join("\n") + "\n");
    this.#lines = [];
    this.#bytes = 0;
    this.#write(text);
  }

  #write(text: Buffer): void {
    write(STDOUT, text, (error, written) => {
      if (error === null && written < text.length) {
        this.#write(text.subarray(written));
        return;
      }
      // A reader that has gone away can't be told; the next lines try again.
      this.#writeWaiting();
    });
  }
}
