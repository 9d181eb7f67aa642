/**
 * The request rate that an endpoint accepts from all hosts together.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

/** What a response of an endpoint states about its limit. */
export type StatedLimit =
  /** The endpoint has no limit. */
  | { readonly kind: "none" }
  | { readonly kind: "rate"; readonly ratePerS: number }
  /** The response states a limit that is not a rate; it neither sets nor ends a limit. */
  | { readonly kind: "invalid"; readonly text: string };

/** The limit of one incarnation of an endpoint. */
export interface EndpointLimit {
  readonly endpoint: EndpointId;
  /** The start time of the incarnation in milliseconds since 1970. */
  readonly startedAtMs: number;
  /** Requests per second from all hosts together. */
  readonly ratePerS: number;
  /** The time at which the endpoint last confirmed the limit, on the monotonic clock of this host. */
  readonly confirmedAtMs: number;
}
