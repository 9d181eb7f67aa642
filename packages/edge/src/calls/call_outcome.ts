/**
 * Types of a forwarded request: its options, the response of an attempt and the
 * final outcome. An outcome of kind "refused" states that no endpoint has run
 * the request.
 * @module
 */
import type { HttpResponse } from "@briarhill/common/http/http_exchange";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { EndpointResponseHead } from "@briarhill/platform/ingress/endpoint_response";
import type { Admission } from "../limits/endpoint_admission.ts";
import type { RelayReply } from "../reach/relay_reply.ts";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";

/** Hosts that reach a service while this one does not, in the order in which to try them. */
export interface RelayedAdmission {
  readonly kind: "relayed";
  readonly service: string;
  readonly hosts: readonly string[];
}

/** Where an attempt is made: at an endpoint, or by one of these hosts, which reach the service while this one does not. */
export type AttemptAdmission =
  | Admission
  | RelayedAdmission;

/** The response that ended one attempt. */
export interface AttemptAnswer {
  readonly httpAnswer: HttpResponse;
  readonly answer: EndpointResponseHead;
}

/** The final outcome of a forwarded request. */
export type CallOutcome =
  | {
    readonly kind: "answered";
    readonly httpAnswer: HttpResponse;
    readonly endpoint: string;
  }
  | {
    readonly kind: "refused";
    readonly reason: string;
    /** The time after which the caller should retry, in milliseconds; undefined if it is not known. */
    readonly retryAfterMs: number | undefined;
  }
  | { readonly kind: "failed"; readonly reason: string };

/** Options of a forwarded call. */
export interface ForwardedCallOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** The deadline of the final outcome, on the monotonic clock. */
  readonly deadlineMs: number;
  /** The maximum number of attempts. */
  readonly maxAttempts: number;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** The time without a response after which another endpoint is tried, in milliseconds. */
  readonly hedgeAfterMs: number;
  /** Cancels the request when its caller no longer waits for it. */
  readonly signal: AbortSignal;
  /** Decides where the next attempt is made, and acquires the permit that it needs. */
  readonly admitAttempt: (
    attempt: {
      readonly tried: ReadonlySet<string>;
      /** Whether another attempt is in flight. */
      readonly isHedge: boolean;
      /** When the call began, on the monotonic clock. */
      readonly startedAtMs: number;
      readonly signal: AbortSignal;
    },
  ) => Promise<AttemptAdmission>;
  /** Lets another host make the remaining attempts. */
  readonly relayAttempts: (
    admission: RelayedAdmission,
    options: { readonly attempts: number; readonly signal: AbortSignal },
  ) => Promise<RelayReply<HttpResponse>>;
  /** Sends one attempt to an endpoint. */
  readonly sendAttempt: (
    endpoint: EndpointStructure,
    signal: AbortSignal,
  ) => Promise<AttemptAnswer>;
}
