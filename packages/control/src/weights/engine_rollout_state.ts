/**
 * Tracks the state of one engine in a weight rollout. After a failure the state
 * is unknown and must be read again before the next order.
 * @module
 */
import type {
  EndpointId,
  Incarnation,
  WeightVersion,
} from "@briarhill/common/ids/ids";

/** An engine that serves the model. */
export interface RolloutEngine {
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  /** Whether the engine rejects orders with an old fencing number. */
  readonly checksFencing: boolean;
}

/** The weights of the model that an engine reports. */
export interface EngineWeights {
  readonly version: WeightVersion;
  /** A version that is loaded but not served yet. */
  readonly loaded: WeightVersion | undefined;
}

/** Kind of an order to an engine: load a version, or switch to the loaded one. */
export type WeightOrderKind = "load" | "switch";

/** Kind of the command that is in flight to an engine. */
export type PendingCommand = WeightOrderKind | "read";

/** State of one engine as known to the rollout leader. */
export class EngineRolloutState {
  engine: RolloutEngine;
  weights: EngineWeights | undefined;
  pending: PendingCommand | undefined;
  /** Monotonic time of the last report; undefined if the state has to be read. */
  readAtMs: number | undefined;
  /** Earliest monotonic time of the next command. */
  retryAtMs = -Infinity;
  failures = 0;

  constructor(engine: RolloutEngine) {
    this.engine = engine;
  }

  /**
   * Applies a report of the engine.
   *
   * @param weights - The reported weights.
   * @param nowMs - The current monotonic time.
   */
  handleWeights(weights: EngineWeights, nowMs: number): void {
    this.weights = weights;
    this.readAtMs = nowMs;
    this.pending = undefined;
    this.failures = 0;
  }

  /**
   * Applies the failure of a command: backs off exponentially, and requires the
   * state to be read before the next order.
   *
   * @param backoff - The minimum and the maximum delay.
   * @param nowMs - The current monotonic time.
   */
  handleFailure(
    backoff: { readonly minMs: number; readonly maxMs: number },
    nowMs: number,
  ): void {
    const waitMs = backoff.minMs * 2 ** this.failures;
    this.retryAtMs = nowMs + Math.min(backoff.maxMs, waitMs);
    this.failures++;
    this.pending = undefined;
    this.readAtMs = undefined;
  }

  /**
   * Returns the order that brings the engine closer to a version, if any.
   *
   * @param targetVersion - The version that all engines have to serve.
   */
  getNextOrder(targetVersion: WeightVersion): WeightOrderKind | undefined {
    if (this.weights === undefined || this.weights.version === targetVersion) {
      return undefined;
    }
    return this.weights.loaded === targetVersion ? "switch" : "load";
  }
}
