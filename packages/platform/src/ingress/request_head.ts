/**
 * Decodes the headers of callers' requests and encodes the headers of
 * forwarded and relayed messages.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import {
  ATTEMPT_ID,
  DEADLINE_MS,
  EXPECTED_INSTANCE,
  LAST_EVENT_ID,
  RESUMES,
  WAIT_MS,
} from "../names/headers.ts";

/** Hop-by-hop headers, which apply to a single connection. */
const HOP_BY_HOP: readonly string[] = [
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "content-length",
  "trailer",
  "upgrade",
];

const NOT_RELAYED: ReadonlySet<string> = new Set(HOP_BY_HOP);

/**
 * Headers that a request to an endpoint does not inherit: the host replaces
 * the deadline and the expected endpoint, and answers "Expect" itself.
 */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP,
  "te",
  "expect",
  DEADLINE_MS.toLowerCase(),
  EXPECTED_INSTANCE.toLowerCase(),
]);

/** Headers that a request does not keep on its way to another host. */
const NOT_PASSED_ON: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP,
  "expect",
  DEADLINE_MS.toLowerCase(),
]);

/** The decoded headers of a caller's request. */
export interface RequestHead {
  /** The id of the attempt; empty if the caller sent none. */
  readonly attemptId: string;
  /** The caller's timeout, in milliseconds; Infinity if it sent none. */
  readonly deadlineMs: number;
  /** The last event of a stream that the caller has received; empty if none. */
  readonly lastEventId: string;
  /** The attempt that received the first event of the stream that the caller takes up; empty if none. */
  readonly resumedAttemptId: string;
  /** Maximum wait of a long-polling read, in milliseconds. */
  readonly waitMs: number;
}

/**
 * Decodes the headers of a caller's request.
 *
 * @example
 * ```ts
 * const { deadlineMs } = decodeRequestHead({ host: "a.example" });
 * ```
 * @param headers - The request headers.
 */
export function decodeRequestHead(headers: IncomingHttpHeaders): RequestHead {
  return {
    attemptId: getText(headers, ATTEMPT_ID),
    deadlineMs: getNumber(headers, DEADLINE_MS) ?? Infinity,
    lastEventId: getText(headers, LAST_EVENT_ID),
    resumedAttemptId: getText(headers, RESUMES),
    waitMs: getNumber(headers, WAIT_MS) ?? 0,
  };
}

/** Options of a request that is forwarded to an endpoint. */
export interface ForwardingOptions {
  readonly endpoint: string;
  /** The time that the endpoint has to respond, in milliseconds. */
  readonly deadlineMs: number;
}

/**
 * Returns the headers of a request that is forwarded to an endpoint.
 *
 * @example
 * ```ts
 * const headers = encodeForwardedHeaders(["Host", "a.example"], {
 *   endpoint: "i-1",
 *   deadlineMs: 500,
 * });
 * ```
 * @param rawHeaders - The caller's headers, as alternating names and values.
 * @param options - The expected endpoint and the deadline.
 */
export function encodeForwardedHeaders(
  rawHeaders: readonly string[],
  options: ForwardingOptions,
): readonly string[] {
  return [
    ...selectHeaders(rawHeaders, NOT_FORWARDED),
    DEADLINE_MS,
    String(Math.max(1, Math.floor(options.deadlineMs))),
    EXPECTED_INSTANCE,
    options.endpoint,
  ];
}

/**
 * Returns the headers of a caller's request that another host handles in the
 * remaining time.
 *
 * @example
 * ```ts
 * const headers = encodePassedOnHeaders(["Host", "a.example"], 500);
 * ```
 * @param rawHeaders - The caller's headers, as alternating names and values.
 * @param remainingMs - The time until the caller's deadline, in milliseconds.
 */
export function encodePassedOnHeaders(
  rawHeaders: readonly string[],
  remainingMs: number,
): readonly string[] {
  return [
    ...selectHeaders(rawHeaders, NOT_PASSED_ON),
    DEADLINE_MS,
    String(Math.max(1, Math.floor(remainingMs))),
  ];
}

/**
 * Returns the headers of a message that is relayed: an endpoint's response to
 * its caller, or a call and its response between two hosts.
 *
 * @example
 * ```ts
 * const headers = encodeRelayedHeaders(["Content-Type", "text/plain"]);
 * ```
 * @param rawHeaders - The message's headers, as alternating names and values.
 */
export function encodeRelayedHeaders(
  rawHeaders: readonly string[],
): readonly string[] {
  return selectHeaders(rawHeaders, NOT_RELAYED);
}

function selectHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): readonly string[] {
  const selected: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const [name = "", value = ""] = rawHeaders.slice(index, index + 2);
    if (!dropped.has(name.toLowerCase())) {
      selected.push(name, value);
    }
  }
  return selected;
}

function getText(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name.toLowerCase()];
  return typeof value === "string" ? value : "";
}

function getNumber(
  headers: IncomingHttpHeaders,
  name: string,
): number | undefined {
  const text = getText(headers, name);
  const value = Number(text);
  return text === "" || !Number.isFinite(value) || value < 0
    ? undefined
    : value;
}
