/**
 * Writes log lines to standard output. A slow or absent reader must not block the
 * process: lines beyond the buffer are dropped and counted.
 * @module
 */
import { Buffer } from "node:buffer";
import { write } from "node:fs";

const STDOUT = 1;
/** Size of the buffer, in bytes; lines that do not fit are dropped and counted. */
const MAX_BUFFERED_BYTES = 262_144;

/**
 * Writes lines to standard output in the background; drops and counts lines
 * that do not fit its buffer.
 */
export class LogWriter {
  #lines: string[] = [];
  #bytes = 0;
  #dropped = 0;
  #isWriting = false;

  /**
   * Adds a line to the buffer.
   *
   * @param line - The line, without a line break.
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
      setImmediate(() => this.#writePending());
    }
  }

  #writePending(): void {
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
      // A write error cannot be reported to the absent reader; later lines retry.
      this.#writePending();
    });
  }
}
