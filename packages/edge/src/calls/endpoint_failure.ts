/**
 * Turns failed requests to endpoints into errors and outcomes.
 * @module
 */
import { PortError, type PortFault } from "@briarhill/common/errors/errors";
import { createPortError } from "@briarhill/common/errors/port_error";
import type { EndpointResponseHead } from "@briarhill/platform/ingress/endpoint_response";
import type { EndpointOutcome } from "@briarhill/routing/endpoints/endpoint_load";
import type { EndpointRequest } from "./endpoint_request.ts";

const FIRST_REDIRECT_STATUS = 300;

/** Faults that are expected to affect the next requests to the endpoint as well. */
const UNREACHABLE_FAULTS: ReadonlySet<PortFault> = new Set([
  "silent",
  "oversized",
]);

/**
 * Creates the error for a response that can't be used.
 *
 * @example
 * ```ts
 * declare const request: EndpointRequest;
 *
 * throw createMalformedError(request, "a successful response without a signature");
 * ```
 * @param request - The request that was sent.
 * @param found - What the endpoint sent instead of a usable response.
 */
export function createMalformedError(
  { endpoint, path }: Pick<EndpointRequest, "endpoint" | "path">,
  found: string,
): PortError {
  return createPortError(`endpoint "${endpoint.id}" sent ${found}`, {
    port: "endpoint",
    operation: path,
    fault: "malformed",
    outcome: "unknown",
  });
}

/** A response, and what is known of the connection that it arrived on. */
export interface ReceivedResponse {
  readonly answer: EndpointResponseHead;
  /** The id that the response must echo; empty if the request has none. */
  readonly attemptId: string;
  /** Whether the connection has carried an earlier request. */
  readonly isReused: boolean;
}

/**
 * Returns whether a response may belong to another request, whatever its status.
 * Without an id, only a rejection that is the first response on its connection is
 * known to belong to the request.
 *
 * @example
 * ```ts
 * declare const response: ReceivedResponse;
 *
 * const canUse = !isForeign(response);
 * ```
 * @param response - The response that has arrived.
 */
export function isForeign(
  { answer, attemptId, isReused }: ReceivedResponse,
): boolean {
  const isFirstRejection = answer.attemptId === "" && answer.isRefused &&
    !isReused;
  return answer.attemptId !== attemptId && !isFirstRejection;
}

/**
 * Returns whether a response reports success without the proof that an endpoint
 * produced it; neither callers nor trainers may get it.
 *
 * @example
 * ```ts
 * const isDropped = isUnsigned({ status: 200, signature: "" });
 * ```
 * @param answer - The status and the signature of the response.
 */
export function isUnsigned(
  { status, signature }: Pick<EndpointResponseHead, "status" | "signature">,
): boolean {
  return status < FIRST_REDIRECT_STATUS && signature === "";
}

/**
 * Creates the error for a response that may belong to another request.
 *
 * @example
 * ```ts
 * declare const request: EndpointRequest;
 *
 * throw createForeignError(request, { attemptId: "a1" });
 * ```
 * @param request - The request that was sent.
 * @param answer - The response, with the attempt that it belongs to.
 */
export function createForeignError(
  request: Pick<EndpointRequest, "endpoint" | "path">,
  { attemptId }: Pick<EndpointResponseHead, "attemptId">,
): PortError {
  return createMalformedError(request, `a response to attempt "${attemptId}"`);
}

/**
 * Returns what a failed request says about the health of its endpoint.
 *
 * @example
 * ```ts
 * declare const error: unknown;
 * declare const signal: AbortSignal;
 *
 * const outcome = getEndpointOutcome(error, signal);
 * ```
 * @param error - The error that ended the request.
 * @param signal - The signal that cancels the request.
 */
export function getEndpointOutcome(
  error: unknown,
  signal: AbortSignal,
): EndpointOutcome | "cancelled" {
  if (signal.aborted) {
    return "cancelled";
  }
  const fault = error instanceof PortError ? error.fault : "reset";
  if (fault === "unsendable") {
    // It says nothing about the endpoint.
    return "cancelled";
  }
  if (fault === "refused") {
    return "closed";
  }
  return UNREACHABLE_FAULTS.has(fault) ? "unreachable" : "broken";
}

/**
 * Returns whether an error says that the connection to an endpoint was lost after
 * it may have begun to run the request.
 *
 * @example
 * ```ts
 * declare const error: unknown;
 *
 * const fault = isLost(error) ? error.fault : "";
 * ```
 * @param error - The error that ended the request.
 */
export function isLost(error: unknown): error is PortError {
  return error instanceof PortError && error.outcome === "unknown";
}
