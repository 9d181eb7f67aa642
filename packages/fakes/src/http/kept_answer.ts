/**
 * An answer whose bytes are kept back on their connection.
 * @module
 */
import type { Socket } from "node:net";

type Written = (error?: Error | null) => void;

/** Keeps back what is written to a connection from its creation until it is sent. */
export class KeptAnswer {
  readonly #socket: Socket;
  readonly #write: Socket["write"];
  readonly #parts: Uint8Array[] = [];
  readonly #callbacks: Written[] = [];

  constructor(socket: Socket) {
    this.#socket = socket;
    this.#write = socket.write;
    socket.write = (
      part: Uint8Array | string,
      encoding?: BufferEncoding | Written,
      callback?: Written,
    ) => this.#add(part, encoding, callback);
  }

  /**
   * Sends all that was kept, in one piece.
   *
   * @param copies - How often.
   */
  send(copies: number): void {
    this.#socket.write = this.#write;
    const bytes = Buffer.concat(this.#parts);
    this.#socket.write(Buffer.concat(Array(copies).fill(bytes)));
    this.#callbacks.forEach((callback) => callback());
  }

  #add(
    part: Uint8Array | string,
    encoding?: BufferEncoding | Written,
    callback?: Written,
  ): boolean {
    const isText = typeof part === "string";
    const name = typeof encoding === "string" ? encoding : "utf8";
    this.#parts.push(isText ? Buffer.from(part, name) : part);
    const written = typeof encoding === "function" ? encoding : callback;
    if (typeof written === "function") {
      this.#callbacks.push(written);
    }
    return true;
  }
}
