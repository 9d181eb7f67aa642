/**
 * Reads the bodies of callers' requests.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/**
 * Reads a whole body. Returns undefined where it breaks off; one that is too
 * large is an {@link InputError}.
 *
 * @example
 * ```ts
 * declare const request: import("node:http").IncomingMessage;
 *
 * const body = await readRequestBody(request, 1_000_000);
 * ```
 * @param request - The request.
 * @param maxBytes - The most bytes allowed.
 */
export function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        request.pause();
        reject(
          new InputError(`the body is larger than ${maxBytes} bytes`, {
            props: { key: "body" },
          }),
        );
        return;
      }
      chunks.push(chunk);
    });
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("close", () => resolve(undefined));
    // The close that follows tells the caller of this function.
    request.on("error", () => undefined);
  });
}
