/**
 * One HTTP request and its response.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { parseInput } from "@briarhill/common/input/parse_input";
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";
import { sendProblem } from "./send_problem.ts";

/** One HTTP request and its response. */
export class Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly params: Readonly<Record<string, string | undefined>>;
  readonly query: URLSearchParams;
  readonly #disconnected = new AbortController();

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    params: Readonly<Record<string, string | undefined>>,
  ) {
    this.request = request;
    this.response = response;
    this.params = params;
    this.query = new URL(request.url ?? "/", "http://host").searchParams;
    response.on("close", () => {
      if (!response.writableFinished) {
        this.#disconnected.abort();
      }
    });
  }

  /** Aborts when the caller disconnects before its response is complete. */
  get signal(): AbortSignal {
    return this.#disconnected.signal;
  }

  /** Returns the bearer key of the request, or undefined if it has none. */
  getBearerKey(): string | undefined {
    return /^Bearer (\S+)$/i.exec(this.request.headers.authorization ?? "")
      ?.[1];
  }

  /**
   * Reads the complete request body; throws an `InputError` if it is too large.
   *
   * @param maxBytes - The maximum size of the body.
   */
  async readBody(maxBytes: number): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of this.request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        throw new InputError(
          `the request body is larger than ${maxBytes} bytes, the maximum`,
        );
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  }

  /**
   * Reads the request body as JSON and validates it.
   *
   * @param schema - The schema of the body.
   * @param maxBytes - The maximum size of the body.
   */
  async readJson<T extends z.ZodType>(
    schema: T,
    maxBytes: number,
  ): Promise<z.output<T>> {
    const text = (await this.readBody(maxBytes)).toString("utf8");
    return parseInput(parseJson(text), { schema, name: "the body" });
  }

  /**
   * Sends a JSON response.
   *
   * @param status - The HTTP status.
   * @param body - The data to serialize.
   */
  sendJson(status: number, body: unknown): void {
    const text = JSON.stringify(body);
    this.response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    this.response.end(text);
  }

  /**
   * Sends an error as problem+json. If the response has already started, closes
   * the connection so that the caller can tell that the response is incomplete.
   *
   * @param error - The error that ended the request.
   */
  sendProblem(error: unknown): void {
    sendProblem(this.response, error);
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new InputError("the request body is not valid JSON", { cause });
  }
}
