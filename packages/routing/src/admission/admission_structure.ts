/**
 * Data structures of admission: limits, requests and commands.
 * @module
 */
import type { CustomerId, RequestId } from "@briarhill/common/ids/ids";

/** Limits of one customer on this host. */
export interface CustomerLimits {
  readonly customer: CustomerId;
  /** Slots that the customer's engine-time share amounts to on this host; may be fractional. */
  readonly entitledSlots: number;
  /** Live floor: the part of `entitledSlots` that only live calls may use. */
  readonly floorSlots: number;
  /** Whether other customers may borrow the customer's idle slots. */
  readonly lend: boolean;
  /** Maximum time until a borrowed slot is returned to the customer. */
  readonly takeBackMs: number;
  readonly maxQueuedLive: number;
  readonly maxQueuedRollouts: number;
}

/** Limits of all customers on this host. */
export interface AdmissionLimits {
  readonly totalSlots: number;
  readonly customers: readonly CustomerLimits[];
}

/** A request for an engine slot. */
export interface AdmissionRequest {
  readonly id: RequestId;
  readonly customer: CustomerId;
  readonly requestClass: "live" | "rollout";
  /** Expected token-seconds: tokens held, multiplied by the time they are held. */
  readonly cost: number;
  /** Monotonic time after which the response is useless to the caller. */
  readonly deadlineMs: number;
  /** Expected time from the start to the complete response. */
  readonly runMs: number;
}

/** Reason for refusing a request. */
export type RefusalReason =
  | "no-contract"
  | "no-capacity"
  | "queue-full"
  | "deadline";

/** Command of admission for one request. */
export type AdmissionCommand =
  | { readonly kind: "start"; readonly id: RequestId }
  | {
    readonly kind: "refuse";
    readonly id: RequestId;
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  }
  | { readonly kind: "cancel"; readonly id: RequestId };

/** Running and queued requests of a customer on this host. */
export interface CustomerUsage {
  readonly customer: CustomerId;
  readonly liveRunning: number;
  readonly liveQueued: number;
  readonly rolloutsRunning: number;
  readonly rolloutsQueued: number;
  /** Token-seconds used since the account was created. */
  readonly tokenSeconds: number;
}

/**
 * Returns the token-seconds of a request. The prompt is held for the whole
 * run; the output grows linearly, so half of its tokens count on average.
 *
 * @example
 * ```ts
 * const cost = computeTokenSeconds({ promptTokens: 200, outputTokens: 100, runMs: 2000 });
 * ```
 * @param request - The token counts and the run time of the request.
 */
export function computeTokenSeconds(
  request: {
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly runMs: number;
  },
): number {
  const held = request.promptTokens + request.outputTokens / 2;
  return held * request.runMs / 1000;
}
