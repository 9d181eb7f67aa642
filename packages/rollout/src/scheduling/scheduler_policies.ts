/**
 * Defines the inputs of a scheduler: its policies, the terms of its trainers,
 * and its capacity.
 * @module
 */
import type { DuplicatePolicy } from "./duplicate_policy.ts";
import type { LotOrder } from "./lot_order.ts";
import type { SampleOrder } from "./sample_order.ts";

/** The policies of a scheduler; each can be disabled. */
export interface SchedulerPolicies {
  readonly lotOrder: LotOrder;
  readonly sampleOrder: SampleOrder;
  readonly duplicates: DuplicatePolicy;
  /** Whether an interrupted generation resumes on another engine after its tokens. */
  readonly resumes: boolean;
}

/** The terms on which a trainer uses engines. */
export interface TrainerTerms {
  /** The engine-time share in the contract. */
  readonly share: number;
  /** Number of lots that may run ahead of the first. */
  readonly runAheadLots: number;
  /** The staleness bound, in versions. */
  readonly maxVersionsBehind: number;
  /** Whether the trainer has made contact recently; an absent trainer holds no engine. */
  readonly isPresent: boolean;
}

/** The slots that training may use, and the speed of an idle engine. */
export interface SchedulerCapacity {
  readonly nowMs: number;
  readonly slots: number;
  /** Tokens per millisecond of a generation that has an engine to itself. */
  readonly idleTokensPerMs: number;
  /** Number of versions by which the most outdated engine is behind the newest version. */
  readonly servedVersionsBehind: number;
}
