/**
 * What a forwarded request needs, and how it can end.
 * @module
 */
import type { HttpAnswer } from "@briarhill/common/http/http_exchange";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { EndpointAnswerHead } from "@briarhill/platform/ingress/endpoint_answer";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";

/** One attempt that has ended with an answer of an endpoint. */
export interface AttemptAnswer {
  readonly whole: HttpAnswer;
  readonly answer: EndpointAnswerHead;
}

/** How a request ended. */
export type CallOutcome =
  | {
    readonly kind: "answered";
    readonly whole: HttpAnswer;
    readonly endpoint: string;
  }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "failed"; readonly reason: string };

/** What a request needs on its way. */
export interface ForwardedCallOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** When the final outcome is due, on the monotonic clock. */
  readonly deadlineMs: number;
  /** To how many endpoints it may be sent at most. */
  readonly maxAttempts: number;
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
  /** After how long without an answer another endpoint is tried, in milliseconds. */
  readonly hedgeAfterMs: number;
  /** Ends the request, as nobody waits for it any more. */
  readonly signal: AbortSignal;
  /** Picks the next endpoint, or returns undefined where there is none. */
  readonly pickEndpoint: (
    tried: ReadonlySet<string>,
  ) => EndpointStructure | undefined;
  /** Sends the request to one endpoint. */
  readonly sendAttempt: (
    endpoint: EndpointStructure,
    signal: AbortSignal,
  ) => Promise<AttemptAnswer>;
}
