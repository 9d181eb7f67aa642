/**
 * Reads the bodies of callers' requests, up to a size limit.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { ByteCollector } from "@briarhill/common/http/byte_collector";
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/**
 * Reads a complete request body. Resolves with undefined if the connection
 * closes early; rejects with an {@link InputError} if the body is too large.
 *
 * @example
 * ```ts
 * declare const request: import("node:http").IncomingMessage;
 *
 * const body = await readRequestBody(request, 1_000_000);
 * ```
 * @param request - The request to read.
 * @param maxBytes - The maximum size of the body, in bytes.
 */
export function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const collector = new ByteCollector();
    request.on("data", (chunk: Buffer) => {
      collector.addChunk(chunk);
      if (collector.byteCount > maxBytes) {
        collector.clear();
        request.pause();
        reject(
          new InputError(`the body is larger than ${maxBytes} bytes`, {
            props: { key: "body" },
          }),
        );
      }
    });
    request.on("end", () => resolve(collector.toBuffer()));
    request.on("close", () => resolve(undefined));
    // The "close" event that follows an error resolves the promise.
    request.on("error", () => undefined);
  });
}
