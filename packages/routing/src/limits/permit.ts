/**
 * Types of a request for a permit and of the decision on it.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

/** A request for a permit to send one request to an endpoint. */
export interface PermitRequest {
  readonly id: string;
  /** The kind of work that it belongs to; flows of equal priority share the permits equally. */
  readonly flow: string;
  /** The name of the workspace that sends it; workspaces of equal priority share the permits of a flow equally. */
  readonly workspace?: string | undefined;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** The endpoints that may serve it. */
  readonly endpoints: readonly EndpointId[];
  /** The time that it can wait; 0 if the sender has other endpoints to choose from. */
  readonly maxWaitMs: number;
}

/** The decision on a request for a permit. */
export type PermitDecision =
  | {
    readonly kind: "granted";
    readonly id: string;
    readonly endpoint: EndpointId;
  }
  | {
    readonly kind: "rejected";
    readonly id: string;
    /** The time after which to ask again, in milliseconds. */
    readonly retryAfterMs: number;
  };

/** A request that waits for a permit. */
export interface WaitingRequest extends PermitRequest {
  readonly expiresAtMs: number;
}
