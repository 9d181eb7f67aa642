/**
 * Reads response bodies within bounds on time and size, as a faulty endpoint
 * may send bytes until its connection is closed.
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { PortError, PortFault } from "../errors/errors.ts";
import { createPortError } from "../errors/port_error.ts";
import { ByteCollector } from "./byte_collector.ts";
import { getBreakCause, isComplete } from "./response_completeness.ts";
import type { ResponseMemory, ResponseReading } from "./response_memory.ts";

/**
 * The largest body that is drained to reuse its connection, in bytes; a
 * problem description takes about 200.
 */
const MAX_DRAINED_BYTES = 16_384;
/**
 * The timeout for draining a body, in milliseconds; opening a new connection
 * takes about 10 ms.
 */
const DRAIN_TIMEOUT_MS = 100;

/** The bytes that a name or a value of a header takes beside its characters. */
const TEXT_BYTES = 64;

/** Options of {@link readBody}. */
export interface BodyReadOptions {
  /** The timeout for the complete body, in milliseconds. */
  readonly timeoutMs: number;
  readonly maxBytes: number;
  /** The account of all responses that are read. */
  readonly memory: ResponseMemory;
  /** Whether the body is only checked for its end, and an empty one is returned. */
  readonly isDiscarded?: boolean;
  /** The external system, for errors. */
  readonly port: string;
  /** The operation, for errors. */
  readonly operation: string;
}

/**
 * Reads the complete body of a response. If the body is truncated, exceeds the
 * timeout, is too large or gives way to other responses, closes the connection and
 * rejects with a {@link PortError} whose outcome is "unknown".
 *
 * @example
 * ```ts
 * declare const head: import("./http_exchange.ts").HttpResponseHead;
 * declare const memory: import("./response_memory.ts").ResponseMemory;
 *
 * const body = await readBody(head.stream, {
 *   timeoutMs: 1000,
 *   maxBytes: 1_000_000,
 *   memory,
 *   port: "store",
 *   operation: "read",
 * });
 * ```
 * @param stream - The response.
 * @param options - The bounds, and the names used in errors.
 */
export function readBody(
  stream: IncomingMessage,
  options: BodyReadOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    new BodyReading(stream, { ...options, resolve, reject }).start();
  });
}

interface BodyReadingOptions extends BodyReadOptions {
  readonly resolve: (body: Buffer) => void;
  readonly reject: (error: PortError) => void;
}

/** Reads one body. */
class BodyReading {
  readonly #stream: IncomingMessage;
  readonly #options: BodyReadingOptions;
  readonly #collector = new ByteCollector();
  readonly #reading: ResponseReading;
  readonly #headBytes: number;
  #byteCount = 0;
  #fault: PortFault | undefined;

  constructor(stream: IncomingMessage, options: BodyReadingOptions) {
    this.#stream = stream;
    this.#options = options;
    this.#headBytes = countHeadBytes(stream);
    this.#reading = options.memory.openReading(() => this.#abort("no-room"));
  }

  start(): void {
    const { timeoutMs } = this.#options;
    const timer = setTimeout(() => this.#abort("silent"), timeoutMs);
    this.#reading.setBytes(this.#headBytes);
    this.#stream.on("data", (chunk: Buffer) => this.#addChunk(chunk));
    this.#stream.on("close", () => {
      clearTimeout(timer);
      this.#reading.close();
      this.#settle();
    });
  }

  #addChunk(chunk: Buffer): void {
    const { maxBytes, isDiscarded = false } = this.#options;
    this.#byteCount += chunk.length;
    if (this.#byteCount > maxBytes) {
      this.#abort("oversized");
    } else if (!isDiscarded && this.#fault === undefined) {
      this.#collector.addChunk(chunk);
      this.#reading.setBytes(this.#headBytes + this.#collector.heldBytes);
    }
  }

  #abort(fault: PortFault): void {
    this.#fault ??= fault;
    this.#collector.clear();
    this.#stream.destroy();
  }

  #settle(): void {
    const { resolve, reject } = this.#options;
    if (isComplete(this.#stream) && this.#fault === undefined) {
      resolve(this.#collector.toBuffer());
      return;
    }
    const fault = this.#fault ?? "incomplete";
    const cause = getBreakCause(this.#stream);
    reject(createReadError(this.#options, fault, cause));
  }
}

/** Many short headers take more memory than their text. */
function countHeadBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, { length }) => sum + length + TEXT_BYTES, 0);
}

function createReadError(
  { port, operation }: BodyReadOptions,
  fault: PortFault,
  cause: Error | undefined,
): PortError {
  const detail = cause === undefined ? "" : `: ${cause.message}`;
  return createPortError(
    `${port} ${operation}: can't read the response body: ${fault}${detail}`,
    { port, operation, fault, outcome: "unknown", cause },
  );
}

/**
 * Discards the rest of a response, so that its connection can be reused; closes
 * the connection if the rest is too large or takes too long.
 *
 * @example
 * ```ts
 * declare const head: import("./http_exchange.ts").HttpResponseHead;
 *
 * drainBody(head.stream);
 * ```
 * @param stream - The response.
 */
export function drainBody(stream: IncomingMessage): void {
  let bytes = 0;
  const timer = setTimeout(() => stream.destroy(), DRAIN_TIMEOUT_MS);
  stream.on("close", () => clearTimeout(timer));
  stream.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_DRAINED_BYTES) {
      stream.destroy();
    }
  });
}
