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
import { isComplete } from "./response_completeness.ts";

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

/** Options of {@link readBody}. */
export interface BodyReadOptions {
  /** The timeout for the complete body, in milliseconds. */
  readonly timeoutMs: number;
  readonly maxBytes: number;
  /** The external system, for errors. */
  readonly port: string;
  /** The operation, for errors. */
  readonly operation: string;
}

/**
 * Reads the complete body of a response. If the body is truncated, exceeds the
 * timeout or is too large, closes the connection and rejects with a
 * {@link PortError} whose outcome is "unknown".
 *
 * @example
 * ```ts
 * declare const head: import("./http_exchange.ts").HttpResponseHead;
 *
 * const body = await readBody(head.stream, {
 *   timeoutMs: 1000,
 *   maxBytes: 1_000_000,
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
    const { timeoutMs, maxBytes } = options;
    const collector = new ByteCollector();
    let fault: PortFault | undefined;
    const abort = (reason: PortFault) => {
      fault ??= reason;
      collector.clear();
      stream.destroy();
    };
    const timer = setTimeout(() => abort("silent"), timeoutMs);
    stream.on("data", (chunk: Buffer) => {
      collector.addChunk(chunk);
      if (collector.byteCount > maxBytes) {
        abort("oversized");
      }
    });
    stream.on("close", () => {
      clearTimeout(timer);
      if (isComplete(stream) && fault === undefined) {
        resolve(collector.toBuffer());
        return;
      }
      reject(createReadError(options, fault ?? "incomplete"));
    });
  });
}

function createReadError(
  { port, operation }: BodyReadOptions,
  fault: PortFault,
): PortError {
  return createPortError(
    `${port} ${operation}: can't read the response body: ${fault}`,
    { port, operation, fault, outcome: "unknown" },
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
