/**
 * Computes how many lots generation may run ahead of the trainer's step.
 * @module
 */
import type { TrainingStructure } from "@briarhill/contract/contract/contract_structure";

const LOW_STALENESS_RUN_AHEAD_LOTS = 1;

/**
 * Computes how many versions may be announced between the start of a sample and
 * its delivery. Each lot ahead of the sample's own, and each delivered lot that
 * new weights have not followed yet, leads to one announcement. A contract that
 * favours idle time uses its entire staleness bound. One that favours staleness
 * runs one lot ahead, the least that keeps a trainer from waiting for a lot
 * that has not been started.
 *
 * @example
 * ```ts
 * const lots = computeRunAheadLots(contract.structure.training);
 * ```
 * @param training - The training section of the contract.
 */
export function computeRunAheadLots(
  training: Pick<TrainingStructure, "favours" | "staleness" | "maxOpenLots">,
): number {
  const { maxVersionsBehind } = training.staleness;
  const maxLots = Math.min(maxVersionsBehind, training.maxOpenLots - 1);
  return Math.max(
    0,
    training.favours === "idle-time"
      ? maxLots
      : Math.min(maxLots, LOW_STALENESS_RUN_AHEAD_LOTS),
  );
}
