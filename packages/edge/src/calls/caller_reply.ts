/**
 * Writes HTTP responses to callers. A response is written at most once, and only
 * while the connection is open.
 * @module
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { CallerVerdict } from "../workspaces/caller_check.ts";

const MS_PER_S = 1_000;

/** A problem response that this host generates itself. */
export interface ProblemReply {
  readonly status: number;
  readonly title: string;
  /** The time after which to retry, in milliseconds; set only if the request has not run. */
  readonly retryAfterMs?: number;
}

/**
 * Writes a response that this host generates itself, as problem+json.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 *
 * writeProblemReply(response, { status: 404, title: "no route" });
 * ```
 * @param response - The response to the caller.
 * @param reply - The status, the title and the retry delay.
 */
export function writeProblemReply(
  response: ServerResponse,
  reply: ProblemReply,
): void {
  const { status, title, retryAfterMs } = reply;
  const body = Buffer.from(JSON.stringify({ status, title }));
  writeReply(response, {
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

/**
 * Writes the response to a request whose caller is not accepted.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 *
 * writeUnidentified(response, { kind: "rejected" });
 * ```
 * @param response - The response to the caller.
 * @param verdict - Whether the key is rejected, or can't be checked at the moment.
 */
export function writeUnidentified(
  response: ServerResponse,
  verdict: Exclude<CallerVerdict, { kind: "accepted" }>,
): void {
  if (verdict.kind === "rejected") {
    response.setHeader("WWW-Authenticate", "Bearer");
    writeProblemReply(response, { status: 401, title: "unknown key" });
    return;
  }
  writeProblemReply(response, {
    status: 503,
    title: "not run: this host can't check the key",
    retryAfterMs: verdict.retryAfterMs,
  });
}

/** A response with its complete body. */
export interface CallerReply {
  readonly status: number;
  /** Header names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/**
 * Writes a response with its complete body. Does nothing if the caller has
 * disconnected or the headers were already sent.
 *
 * @example
 * ```ts
 * declare const response: import("node:http").ServerResponse;
 *
 * writeReply(response, { status: 200, headers: [], body: Buffer.from("") });
 * ```
 * @param response - The response to the caller.
 * @param reply - The status, the headers and the body.
 */
export function writeReply(response: ServerResponse, reply: CallerReply): void {
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
