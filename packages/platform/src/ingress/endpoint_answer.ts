/**
 * What the head of an endpoint's answer says.
 * @module
 */
import type { HttpHead } from "@briarhill/common/http/http_exchange";
import type { IncomingHttpHeaders } from "node:http";
import {
  ATTEMPT_ID,
  LEAVING,
  LOAD,
  NOT_EXECUTED,
  SIGNATURE,
  WEIGHT_VERSIONS,
} from "../names/headers.ts";

const LEAVING_YES = "1";

/** What the head of an endpoint's answer says. */
export interface EndpointAnswerHead {
  readonly status: number;
  /** The request that it answers; empty where it doesn't say. */
  readonly attemptId: string;
  /** Whether the endpoint has run the request, as far as the answer tells. */
  readonly isRefused: boolean;
  /** Another endpoint has taken over the address. */
  readonly isOtherEndpoint: boolean;
  /** The endpoint is about to stop and takes no new work. */
  readonly isLeaving: boolean;
  /** Proves that an endpoint made the answer; empty where it is missing. */
  readonly signature: string;
  /** Running and waiting requests, or undefined where it doesn't say. */
  readonly requests: number | undefined;
  /** The version of the weights that serves, or undefined where it doesn't say. */
  readonly version: number | undefined;
}

/**
 * Decodes the head of an endpoint's answer.
 *
 * @example
 * ```ts
 * const { isRefused } = decodeEndpointAnswer({ status: 503, headers: {} });
 * ```
 * @param head - The status and the headers.
 */
export function decodeEndpointAnswer(
  head: Pick<HttpHead, "status" | "headers">,
): EndpointAnswerHead {
  const { status, headers } = head;
  return {
    status,
    attemptId: getText(headers, ATTEMPT_ID),
    isRefused: status === 421 ||
      headers[NOT_EXECUTED.toLowerCase()] !== undefined,
    isOtherEndpoint: status === 421,
    isLeaving: getText(headers, LEAVING) === LEAVING_YES,
    signature: getText(headers, SIGNATURE),
    requests: decodeLoad(getText(headers, LOAD)),
    version: decodeVersion(getText(headers, WEIGHT_VERSIONS)),
  };
}

function getText(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name.toLowerCase()];
  return typeof value === "string" ? value : "";
}

/** The text holds running requests, waiting requests and slots. */
function decodeLoad(text: string): number | undefined {
  const [running, waiting] = text.split(",").map(Number);
  const sum = (running ?? NaN) + (waiting ?? NaN);
  return Number.isFinite(sum) ? sum : undefined;
}

function decodeVersion(text: string): number | undefined {
  const version = Number(text);
  return text !== "" && Number.isSafeInteger(version) ? version : undefined;
}
