/**
 * Reads the bodies of answers within bounds on time and size: an endpoint in
 * trouble may send bytes until its connection is closed.
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { PortFault } from "../errors/errors.ts";
import { createPortError } from "../errors/port_fault.ts";

/** The largest body that is drained to keep its connection, in bytes; a problem description takes some 200. */
const MAX_DRAINED_BYTES = 16_384;
/** The longest wait for the end of a body that is drained, in milliseconds; a new connection takes some 10. */
const DRAIN_TIMEOUT_MS = 100;

/** How a body is read. */
export interface BodyReading {
  /** The longest wait for the whole body, in milliseconds. */
  readonly timeoutMs: number;
  readonly maxBytes: number;
  readonly port: string;
  readonly operation: string;
}

/**
 * Reads the whole body of an answer; one that breaks off, takes too long or is
 * too large is a {@link PortError} with the outcome "unknown", and its
 * connection is closed.
 *
 * @example
 * ```ts
 * declare const head: import("./http_exchange.ts").HttpHead;
 *
 * const body = await readBody(head.stream, {
 *   timeoutMs: 1000,
 *   maxBytes: 1_000_000,
 *   port: "store",
 *   operation: "read",
 * });
 * ```
 * @param stream - The answer.
 * @param reading - The bound, and the names for errors.
 */
export function readBody(
  stream: IncomingMessage,
  reading: BodyReading,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const { timeoutMs, maxBytes, port, operation } = reading;
    let chunks: Buffer[] = [];
    let bytes = 0;
    let fault: PortFault | undefined;
    const end = (reason: PortFault) => {
      fault ??= reason;
      chunks = [];
      stream.destroy();
    };
    const timer = setTimeout(() => end("silent"), timeoutMs);
    stream.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      bytes > maxBytes ? end("oversized") : chunks.push(chunk);
    });
    stream.on("close", () => {
      clearTimeout(timer);
      if (stream.complete && fault === undefined) {
        resolve(Buffer.concat(chunks));
        return;
      }
      const kind = fault ?? "incomplete";
      reject(
        createPortError(`${port} ${operation}: the answer is ${kind}`, {
          port,
          operation,
          fault: kind,
          outcome: "unknown",
        }),
      );
    });
  });
}

/**
 * Lets the rest of an answer pass unread, so that its connection can be used
 * again; closes the connection where that takes too long.
 *
 * @example
 * ```ts
 * declare const head: import("./http_exchange.ts").HttpHead;
 *
 * drainBody(head.stream);
 * ```
 * @param stream - The answer.
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
