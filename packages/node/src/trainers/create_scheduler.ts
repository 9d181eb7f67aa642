/**
 * Creates the rollout scheduler of a host. The combination of policies was chosen
 * by measurement.
 * @module
 */
import { FifoLotOrder } from "@briarhill/rollout/scheduling/fifo_lot_order";
import { LongestFirstOrder } from "@briarhill/rollout/scheduling/longest_first_order";
import { NoDuplicates } from "@briarhill/rollout/scheduling/no_duplicates";
import { RolloutScheduler } from "@briarhill/rollout/scheduling/rollout_scheduler";

/**
 * Creates the rollout scheduler of a host: first-in-first-out lots, longest
 * samples first, no duplicate generations, resumption of interrupted ones.
 *
 * @example
 * ```ts
 * const scheduler = createScheduler();
 * ```
 */
export function createScheduler(): RolloutScheduler {
  return new RolloutScheduler({
    lotOrder: new FifoLotOrder(),
    sampleOrder: new LongestFirstOrder(),
    duplicates: new NoDuplicates(),
    resumes: true,
  });
}
