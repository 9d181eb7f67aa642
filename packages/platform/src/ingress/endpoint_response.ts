/**
 * Decodes the status and headers of an endpoint's response.
 * @module
 */
import type { HttpResponseHead } from "@briarhill/common/http/http_exchange";
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
  /** Number of running and queued requests, or undefined if not reported. */
  readonly requests: number | undefined;
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
    requests: decodeRequestCount(getText(headers, SERVER_LOAD)),
    version: decodeVersion(getText(headers, WEIGHT_VERSIONS)),
  };
}

function getText(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name.toLowerCase()];
  return typeof value === "string" ? value : "";
}

/**
 * Parses a list of running requests, queued requests and slots; returns the
 * sum of the first two.
 */
function decodeRequestCount(text: string): number | undefined {
  const [running, waiting] = text.split(",").map(Number);
  const sum = (running ?? NaN) + (waiting ?? NaN);
  return Number.isFinite(sum) ? sum : undefined;
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
