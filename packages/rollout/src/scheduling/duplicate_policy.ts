/**
 * Defines the policy that decides when a straggler is generated a second time.
 * @module
 */

/** The status of a running generation while no sample of its lot is waiting. */
export interface StragglerStatus {
  /** Tokens per millisecond of the generation. */
  readonly tokensPerMs: number;
  /** Tokens per millisecond that a generation started now would generate. */
  readonly newTokensPerMs: number;
  /** Expected number of remaining tokens. */
  readonly remainingTokens: number;
  /** The share of the lot's samples that are running, from 0 to 1. */
  readonly runningShare: number;
}

/** Decides when a straggler is generated a second time on another engine. */
export abstract class DuplicatePolicy {
  /**
   * Returns whether to start a duplicate, given the tokens generated so far.
   *
   * @param straggler - The running generation.
   */
  abstract shouldDuplicate(straggler: StragglerStatus): boolean;
}
