/**
 * Writes answers to callers.
 * @module
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

const MS_PER_S = 1_000;

/** An answer that this host makes itself. */
export interface OwnReply {
  readonly status: number;
  readonly title: string;
  /** When to come back, in milliseconds; only for what has not run. */
  readonly retryAfterMs?: number;
}

/**
 * Writes an answer of this host's own, as problem+json.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 *
 * writeOwnReply(response, { status: 404, title: "no route" });
 * ```
 * @param response - Where to write.
 * @param reply - The answer.
 */
export function writeOwnReply(
  response: ServerResponse,
  reply: OwnReply,
): void {
  const { status, title, retryAfterMs } = reply;
  const body = Buffer.from(JSON.stringify({ status, title }));
  writeWhole(response, {
    status,
    headers: [
      "Content-Type",
      "application/problem+json",
      ...(retryAfterMs === undefined
        ? []
        : ["Retry-After", (retryAfterMs / MS_PER_S).toFixed(3)]),
    ],
    body,
  });
}

/** A whole answer to write. */
export interface WholeReply {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/**
 * Writes a whole answer; does nothing where the caller has gone.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 *
 * writeWhole(response, { status: 200, headers: [], body: Buffer.from("") });
 * ```
 * @param response - Where to write.
 * @param reply - The answer.
 */
export function writeWhole(response: ServerResponse, reply: WholeReply): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const { status, headers, body } = reply;
  response.writeHead(status, [
    ...headers,
    "Content-Length",
    String(body.length),
  ] as unknown as Record<string, string>);
  response.end(body);
}
