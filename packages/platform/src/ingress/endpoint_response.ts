/**
 * Decodes the status and headers of an endpoint's response.
 * @module
 */
import type { HttpResponseHead } from "@briarhill/common/http/http_exchange";
import type { StatedLoad } from "@briarhill/routing/endpoints/stated_load";
import type { StatedLimit } from "@briarhill/routing/limits/request_limit";
import type { IncomingHttpHeaders } from "node:http";
import {
  ATTEMPT_ID,
  NOT_EXECUTED,
  SERVER_LEAVING,
  SERVER_LIMIT,
  SERVER_LOAD,
  SIGNATURE,
  WEIGHT_VERSIONS,
} from "../names/headers.ts";

const LEAVING_VALUE = "1";
const WHOLE_NUMBER = /^\d{1,9}$/;
const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;

/** The decoded status and headers of an endpoint's response. */
export interface EndpointResponseHead {
  readonly status: number;
  /** The attempt that the response belongs to; empty if not reported. */
  readonly attemptId: string;
  /** Whether the response guarantees that the endpoint did not run the request. */
  readonly isRefused: boolean;
  /** Whether another endpoint has taken over the address. */
  readonly isOtherEndpoint: boolean;
  /** Whether the endpoint is about to stop and accepts no new requests. */
  readonly isLeaving: boolean;
  /** The request rate that the endpoint accepts from all hosts together. */
  readonly limit: StatedLimit;
  /** Proves that an endpoint produced the response; empty if missing. */
  readonly signature: string;
  /** The load that the endpoint states, or undefined if it states none. */
  readonly load: StatedLoad | undefined;
  /** The weight version that serves the request, or undefined if not reported. */
  readonly version: number | undefined;
}

/**
 * Decodes the status and headers of an endpoint's response.
 *
 * @example
 * ```ts
 * const { isRefused } = decodeEndpointResponse({ status: 503, headers: {} });
 * ```
 * @param head - The status and headers of the response.
 */
export function decodeEndpointResponse(
  head: Pick<HttpResponseHead, "status" | "headers">,
): EndpointResponseHead {
  const { status, headers } = head;
  return {
    status,
    attemptId: getText(headers, ATTEMPT_ID),
    isRefused: status === 421 ||
      headers[NOT_EXECUTED.toLowerCase()] !== undefined,
    isOtherEndpoint: status === 421,
    isLeaving: getText(headers, SERVER_LEAVING) === LEAVING_VALUE,
    limit: decodeLimit(headers[SERVER_LIMIT.toLowerCase()]),
    signature: getText(headers, SIGNATURE),
    load: decodeLoad(getText(headers, SERVER_LOAD)),
    version: decodeVersion(getText(headers, WEIGHT_VERSIONS)),
  };
}

function getText(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name.toLowerCase()];
  return typeof value === "string" ? value : "";
}

/**
 * Parses a list of running requests, waiting requests, slots and, from some
 * services, the duration of work at this moment in percent of the usual one. A
 * malformed percentage does not invalidate the counts.
 */
function decodeLoad(text: string): StatedLoad | undefined {
  const [running, waiting, , percent = ""] = text.split(",")
    .map((part) => part.trim());
  if (!isCount(running) || !isCount(waiting)) {
    return undefined;
  }
  const slowdown = DECIMAL_NUMBER.test(percent) ? Number(percent) / 100 : 0;
  return {
    running: Number(running),
    waiting: Number(waiting),
    slowdown: slowdown > 0 && Number.isFinite(slowdown) ? slowdown : undefined,
  };
}

function isCount(text: string | undefined): boolean {
  return text !== undefined && WHOLE_NUMBER.test(text);
}

/** Accepts only a decimal number; repeated headers arrive as one text with a comma and are invalid. */
function decodeLimit(
  value: string | readonly string[] | undefined,
): StatedLimit {
  if (value === undefined) {
    return { kind: "none" };
  }
  const text = String(value).trim();
  const ratePerS = Number(text);
  return DECIMAL_NUMBER.test(text) && Number.isFinite(ratePerS)
    ? { kind: "rate", ratePerS }
    : { kind: "invalid", text };
}

function decodeVersion(text: string): number | undefined {
  const version = Number(text);
  return text !== "" && Number.isSafeInteger(version) ? version : undefined;
}
