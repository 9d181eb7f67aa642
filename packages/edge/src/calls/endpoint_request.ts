/**
 * Defines requests to endpoints, and the heads of their responses.
 * @module
 */
import type { HttpResponseHead } from "@briarhill/common/http/http_exchange";
import type { EndpointResponseHead } from "@briarhill/platform/ingress/endpoint_response";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { Buffer } from "node:buffer";
import type { RequestPurpose } from "../limits/observed_limits.ts";

/** A request to one endpoint. */
export interface EndpointRequest {
  readonly endpoint: EndpointStructure;
  readonly purpose: RequestPurpose;
  /** The id that the response of the endpoint must echo. */
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The timeout for the head of the response, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** The head of a response that is known to belong to the request. */
export interface CheckedHead {
  readonly head: HttpResponseHead;
  readonly answer: EndpointResponseHead;
}
