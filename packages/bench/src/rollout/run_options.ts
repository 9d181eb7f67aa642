/**
 * Defines the options of a run of the rollout bench.
 * @module
 */
import type { SchedulerPolicies } from "@briarhill/rollout/scheduling/scheduler_policies";
import type { EnginePicking } from "./engine_pool.ts";
import type { RolloutMix } from "./rollout_mix.ts";

/** The policies of a run. */
export interface RunPolicies extends SchedulerPolicies {
  readonly picking: EnginePicking;
  /** Whether lots are submitted ahead as far as the contract allows. */
  readonly runsAhead: boolean;
  /**
   * Whether samples that can no longer be delivered within the staleness bound are
   * cancelled early.
   */
  readonly cancelsEarly: boolean;
}

/** Options of a run. */
export interface RunOptions {
  readonly mix: RolloutMix;
  readonly policies: RunPolicies;
  readonly steps: number;
  readonly seed: number;
}
