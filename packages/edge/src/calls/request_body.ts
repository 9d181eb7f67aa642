/**
 * Reads the bodies of callers' requests, up to a size limit and as far as the
 * memory of the host has room for them.
 *
 * Load pattern: many large bodies arrive at once, or stop short of their end.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { ByteCollector } from "@briarhill/common/http/byte_collector";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Holding, HostMemory } from "../memory/host_memory.ts";

/** The bytes that a request without a body takes. */
const HEAD_BYTES = 4_096;
/** The size up to which a body is copied when it is complete. Larger ones of unknown length are given room for the largest one. */
const COPIED_BYTES = 262_144;

/** Options of {@link readRequestBody}. */
export interface RequestBodyOptions {
  /** The maximum size of the body, in bytes. */
  readonly maxBytes: number;
  readonly memory: HostMemory;
}

interface BodyReadingOptions extends RequestBodyOptions {
  readonly resolve: (result: RequestBodyResult) => void;
  readonly reject: (error: InputError) => void;
}

/** What has become of a body. */
export type RequestBodyResult =
  /** It is complete; the holding has to be released once the request has ended. */
  | {
    readonly kind: "complete";
    readonly body: Buffer;
    readonly holding: Holding;
  }
  /** The host has no room for it, or it has given way; its request has not run. */
  | { readonly kind: "refused" }
  /** Its connection has closed early. */
  | { readonly kind: "closed" };

/**
 * Reads a complete request body; rejects with an {@link InputError} if it is too large.
 *
 * @example
 * ```ts
 * declare const request: import("node:http").IncomingMessage;
 * declare const memory: HostMemory;
 *
 * const result = await readRequestBody(request, { maxBytes: 1_000_000, memory });
 * ```
 * @param request - The request to read.
 * @param options - The maximum size, and the account of the bytes that are held.
 */
export function readRequestBody(
  request: IncomingMessage,
  options: RequestBodyOptions,
): Promise<RequestBodyResult> {
  return new Promise((resolve, reject) => {
    new BodyReading(request, { ...options, resolve, reject }).start();
  });
}

class BodyReading {
  readonly #request: IncomingMessage;
  readonly #options: BodyReadingOptions;
  readonly #holding: Holding;
  readonly #collector = new ByteCollector();
  /** Holds the body from the start if it is large, so that it is never copied. */
  #buffer: Buffer | undefined;
  #byteCount = 0;
  #isSettled = false;

  constructor(request: IncomingMessage, options: BodyReadingOptions) {
    this.#request = request;
    this.#options = options;
    this.#holding = options.memory.openHolding(
      "body",
      () => this.#settle({ kind: "refused" }),
    );
  }

  start(): void {
    if (this.#request.destroyed) {
      this.#settle({ kind: "closed" });
      return;
    }
    const length = Number(this.#request.headers["content-length"] ?? 0);
    if (length > this.#options.maxBytes) {
      this.#refuseTooLarge();
      return;
    }
    if (!this.#holding.acquire(HEAD_BYTES + length)) {
      this.#settle({ kind: "refused" });
      return;
    }
    if (length > COPIED_BYTES) {
      this.#buffer = Buffer.allocUnsafeSlow(length);
    }
    this.#request.on("data", (chunk: Buffer) => this.#addChunk(chunk));
    this.#request.on("end", () => this.#finish());
    this.#request.on("close", () => this.#settle({ kind: "closed" }));
    // The "close" event that follows an error settles the result.
    this.#request.on("error", () => undefined);
  }

  #addChunk(chunk: Buffer): void {
    // What is left of a body that was refused is discarded.
    if (this.#isSettled) {
      return;
    }
    const start = this.#byteCount;
    this.#byteCount += chunk.length;
    if (this.#byteCount > this.#options.maxBytes) {
      this.#request.pause();
      this.#refuseTooLarge();
      return;
    }
    if (!this.#hasRoom(chunk.length)) {
      this.#settle({ kind: "refused" });
      return;
    }
    this.#holding.setProgress();
    this.#buffer === undefined
      ? this.#collector.addChunk(chunk)
      : chunk.copy(this.#buffer, start);
  }

  /** Adds the bytes of a chunk to the account if the length of the body was not stated. */
  #hasRoom(bytes: number): boolean {
    const hasLength = this.#request.headers["content-length"] !== undefined;
    if (hasLength || this.#buffer !== undefined) {
      return true;
    }
    if (this.#byteCount <= COPIED_BYTES) {
      return this.#holding.acquire(bytes);
    }
    const { maxBytes } = this.#options;
    const collected = this.#collector.toBuffer();
    this.#collector.clear();
    if (!this.#holding.acquire(maxBytes - collected.length)) {
      return false;
    }
    this.#buffer = Buffer.allocUnsafeSlow(maxBytes);
    collected.copy(this.#buffer);
    return true;
  }

  #finish(): void {
    const body = this.#buffer?.subarray(0, this.#byteCount) ??
      this.#collector.toBuffer();
    this.#holding.setRunning();
    this.#settle({ kind: "complete", body, holding: this.#holding });
  }

  #refuseTooLarge(): void {
    const { maxBytes, reject } = this.#options;
    // The first of the two settles the promise.
    reject(
      new InputError(`the body is larger than ${maxBytes} bytes`, {
        props: { key: "body" },
      }),
    );
    this.#settle({ kind: "closed" });
  }

  #settle(result: RequestBodyResult): void {
    if (this.#isSettled) {
      return;
    }
    this.#isSettled = true;
    this.#buffer = undefined;
    this.#collector.clear();
    if (result.kind !== "complete") {
      this.#holding.release();
    }
    this.#options.resolve(result);
  }
}
