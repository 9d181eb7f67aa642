/**
 * What the operator says of routes and services.
 * @module
 */

/**
 * What may be repeated: "idempotent" requests may run more than once,
 * "non-idempotent" ones and streams once at most, "rollout" routes take lots.
 */
export type RouteKind = "idempotent" | "non-idempotent" | "stream" | "rollout";

/** A service that a route's requests go to, and its share of them. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** One route: which requests it takes, where they go, and within which bounds. */
export interface RouteStructure {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** A broken stream may go on at another endpoint. */
  readonly isResumable: boolean;
  /** All events of a sample must be made by one version. */
  readonly isSingleVersion: boolean;
  /** The longest time that a request may be kept waiting. */
  readonly timeoutMs: number;
  /** The time within which an answer earns its full credit. */
  readonly objectiveMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** The most endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** How long after the hand-in all samples of a lot are due. */
  readonly dueMs: number;
  /** How long after the hand-in a sample may be given up. */
  readonly retentionMs: number;
}

/** A service and the models that its engines hold; a plain service has none. */
export interface ServiceStructure {
  readonly name: string;
  readonly healthPath: string;
  readonly maxConnections: number;
  readonly models: readonly string[];
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly RouteStructure[];
  readonly services: readonly ServiceStructure[];
  readonly limits: CallerLimits;
}
