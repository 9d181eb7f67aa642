/**
 * Reads the bodies of requests to stand-ins. Hosts are killed in tests, so that a
 * body may break off.
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/**
 * Reads the body of a request; resolves with undefined if it breaks off.
 *
 * @example
 * ```ts
 * declare const request: import("node:http").IncomingMessage;
 *
 * const body = await readRequestBytes(request);
 * ```
 * @param request - The request.
 */
export async function readRequestBytes(
  request: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) {
      chunks.push(chunk);
    }
  } catch (error) {
    if (request.complete) {
      throw error;
    }
    return undefined;
  }
  return Buffer.concat(chunks);
}
