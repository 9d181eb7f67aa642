/**
 * One HTTP request at a stand-in and its answer.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";
import { abortSocket } from "../relay/abort_socket.ts";

/** One HTTP request and its answer. */
export class Exchange {
  readonly method: string;
  readonly url: URL;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.method = request.method ?? "GET";
    this.url = new URL(request.url ?? "/", "http://localhost");
    this.request = request;
    this.response = response;
  }

  /** The parts of the path, decoded. */
  get path(): readonly string[] {
    return this.url.pathname.split("/").slice(1).map(decodeURIComponent);
  }

  /**
   * Tells whether the request is for an operation.
   *
   * @param operation - Method and path, such as "GET /load".
   */
  isFor(operation: string): boolean {
    return `${this.method} ${this.url.pathname}` === operation;
  }

  /** Returns a number of the query, or undefined when it is missing. */
  getNumber(name: string): number | undefined {
    const text = this.url.searchParams.get(name);
    return text === null ? undefined : Number(text);
  }

  /** Reads the whole body. */
  async readText(): Promise<string> {
    const parts: Uint8Array[] = [];
    for await (const part of this.request) {
      parts.push(part);
    }
    return Buffer.concat(parts).toString("utf8");
  }

  /**
   * Reads the body as JSON of a given form.
   *
   * @param schema - The form.
   */
  async readJson<T extends z.ZodType>(schema: T): Promise<z.output<T>> {
    const text = await this.readText();
    const result = schema.safeParse(JSON.parse(text));
    if (!result.success) {
      throw new InputError(result.error.message);
    }
    return result.data;
  }

  /**
   * Sends a JSON answer.
   *
   * @param status - The status.
   * @param value - What to send.
   */
  sendJson(status: number, value: unknown): void {
    this.sendText(status, JSON.stringify(value));
  }

  /**
   * Sends a text as JSON answer, whatever it holds.
   *
   * @param status - The status.
   * @param text - What to send.
   */
  sendText(status: number, text: string): void {
    if (!this.response.headersSent) {
      this.response.writeHead(status, { "content-type": "application/json" });
    }
    this.response.end(text);
  }

  /** Ends the answer as it is. */
  close(): void {
    this.response.end();
  }

  /** Resets the connection, or closes it where its end is on the way already. */
  abort(): void {
    abortSocket(this.request.socket);
  }
}
