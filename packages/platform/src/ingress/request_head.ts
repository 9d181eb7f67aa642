/**
 * The headers of callers' requests, and those that endpoints get.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import {
  ATTEMPT_ID,
  DEADLINE_MS,
  EXPECTED_INSTANCE,
  LAST_EVENT_ID,
  WAIT_MS,
} from "../names/headers.ts";

/** Headers that concern one connection only. */
const HOP_BY_HOP: readonly string[] = [
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "content-length",
  "trailer",
  "upgrade",
];

const NOT_PASSED_ON: ReadonlySet<string> = new Set(HOP_BY_HOP);

/** On the way to an endpoint some headers are set anew, and hosts answer expectations themselves. */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP,
  "te",
  "expect",
  DEADLINE_MS.toLowerCase(),
  EXPECTED_INSTANCE.toLowerCase(),
]);

/** What the head of a caller's request says. */
export interface RequestHead {
  /** Empty where the caller sent none. */
  readonly attemptId: string;
  /** How long the caller will wait, in milliseconds; Infinity where it doesn't say. */
  readonly deadlineMs: number;
  /** The last event that the caller has of a stream; empty where it has none. */
  readonly lastEventId: string;
  /** How long a read may be held open, in milliseconds. */
  readonly waitMs: number;
}

/**
 * Decodes the head of a caller's request.
 *
 * @example
 * ```ts
 * const { deadlineMs } = decodeRequestHead({ host: "a.example" });
 * ```
 * @param headers - The headers.
 */
export function decodeRequestHead(headers: IncomingHttpHeaders): RequestHead {
  return {
    attemptId: getText(headers, ATTEMPT_ID),
    deadlineMs: getNumber(headers, DEADLINE_MS) ?? Infinity,
    lastEventId: getText(headers, LAST_EVENT_ID),
    waitMs: getNumber(headers, WAIT_MS) ?? 0,
  };
}

/** What is set anew on the way to an endpoint. */
export interface ForwardingHead {
  readonly endpoint: string;
  /** How long the endpoint may work, in milliseconds. */
  readonly deadlineMs: number;
}

/**
 * Returns the headers of a request on its way to an endpoint.
 *
 * @example
 * ```ts
 * const headers = encodeForwardedHeaders(["Host", "a.example"], {
 *   endpoint: "i-1",
 *   deadlineMs: 500,
 * });
 * ```
 * @param rawHeaders - The caller's headers, names and values in turn.
 * @param head - What is set anew.
 */
export function encodeForwardedHeaders(
  rawHeaders: readonly string[],
  head: ForwardingHead,
): readonly string[] {
  return [
    ...selectHeaders(rawHeaders, NOT_FORWARDED),
    DEADLINE_MS,
    String(Math.max(1, Math.floor(head.deadlineMs))),
    EXPECTED_INSTANCE,
    head.endpoint,
  ];
}

/**
 * Returns the headers of a message that is passed on: an endpoint's answer to
 * its caller, or a call and its answer between two hosts.
 *
 * @example
 * ```ts
 * const headers = encodePassedHeaders(["Content-Type", "text/plain"]);
 * ```
 * @param rawHeaders - The message's headers, names and values in turn.
 */
export function encodePassedHeaders(
  rawHeaders: readonly string[],
): readonly string[] {
  return selectHeaders(rawHeaders, NOT_PASSED_ON);
}

function selectHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): readonly string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const [name = "", value = ""] = rawHeaders.slice(index, index + 2);
    if (!dropped.has(name.toLowerCase())) {
      kept.push(name, value);
    }
  }
  return kept;
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
