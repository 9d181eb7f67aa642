/**
 * Defines the events and commands of a request's lifecycle.
 * @module
 */
import type { PortFault } from "@briarhill/common/errors/errors";
import type { EndpointId, Outcome } from "@briarhill/common/ids/ids";

/** An event in the lifecycle of a request. */
export type RequestEvent =
  /** Admission assigned a slot to the request and an endpoint was picked. */
  | { readonly type: "admitted"; readonly endpoint: EndpointId }
  /** Admission refused the request, or no endpoint can serve it. */
  | { readonly type: "refused" }
  /** The first chunk after a dial was received. */
  | { readonly type: "chunk" }
  /** The dial failed; `canRetry` is set if the retry budget allows another attempt. */
  | {
    readonly type: "broken";
    readonly fault: PortFault;
    readonly outcome: Outcome;
    readonly offset: number;
    readonly canRetry: boolean;
  }
  /** A hedging dial received a response before the first dial, which was cancelled. */
  | { readonly type: "hedged"; readonly endpoint: EndpointId }
  /** The backoff has elapsed and an endpoint was picked. */
  | { readonly type: "picked"; readonly endpoint: EndpointId }
  /** The complete response was received. */
  | { readonly type: "finished" }
  /** The caller disconnected, or training was cancelled. */
  | { readonly type: "cancelled" }
  /** The deadline has passed. */
  | { readonly type: "late" };

/** A command that the caller of the lifecycle must execute. */
export type RequestCommand =
  | {
    readonly kind: "dial";
    readonly endpoint: EndpointId;
    readonly fromToken: number;
  }
  /** Wait for the backoff, then pick another endpoint. */
  | { readonly kind: "backoff"; readonly attempt: number }
  /** The dial failed and is not repeated; a rejection by an overloaded endpoint is not a fault. */
  | {
    readonly kind: "blame";
    readonly endpoint: EndpointId;
    readonly isOverload: boolean;
  }
  /** Cancel the attempt, which may still be running at the endpoint. */
  | { readonly kind: "cancel"; readonly endpoint: EndpointId }
  | { readonly kind: "finish" }
  | {
    readonly kind: "fail";
    readonly outcome: Outcome;
    readonly reason: "refused" | "broken" | "cancelled" | "late";
  };

/** Options of a request's lifecycle. */
export interface RequestInput {
  /** Whether the request may be sent again after it may have run. */
  readonly idempotent: boolean;
  /** Whether an interrupted response may be resumed at another endpoint. */
  readonly resume: boolean;
  readonly maxAttempts: number;
}

/**
 * Merges the outcome of an attempt into the outcome of its request.
 *
 * @example
 * ```ts
 * mergeOutcomes("not-run", "unknown"); // "unknown"
 * ```
 * @param a - The outcome of the request so far.
 * @param b - The outcome of the attempt.
 */
export function mergeOutcomes(a: Outcome, b: Outcome): Outcome {
  if (a === "ran" || b === "ran") {
    return "ran";
  }
  return a === "unknown" || b === "unknown" ? "unknown" : "not-run";
}
