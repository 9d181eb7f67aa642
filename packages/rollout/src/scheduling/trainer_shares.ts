/**
 * Divides the slots that training may use among trainers.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";

/** The demand of a trainer, and its share in the contract. */
export interface TrainerDemand {
  readonly customer: CustomerId;
  /** The engine-time share in the contract. */
  readonly share: number;
  /** Number of running generations and waiting samples; 0 for an absent trainer. */
  readonly demand: number;
}

/**
 * Divides slots by weighted max-min fairness: each trainer gets its share, and
 * slots that one does not use go to the others in proportion to their shares. A
 * trainer with any demand gets at least one slot, so that none starves.
 *
 * @example
 * ```ts
 * const quotas = computeTrainerQuotas(demands, 192);
 * ```
 * @param demands - The trainers.
 * @param slots - The slots to divide.
 */
export function computeTrainerQuotas(
  demands: readonly TrainerDemand[],
  slots: number,
): ReadonlyMap<CustomerId, number> {
  const quotas = new Map<CustomerId, number>();
  let unassigned = demands.filter((trainer) => trainer.demand > 0);
  let remainingSlots = slots;
  while (unassigned.length > 0) {
    const total = unassigned.reduce(
      (sum, { share }) => sum + Math.max(share, 1e-6),
      0,
    );
    const slotsPerShare = remainingSlots / total;
    const satisfied = unassigned.filter(({ demand, share }) =>
      demand <= Math.max(share, 1e-6) * slotsPerShare
    );
    for (const { customer, demand } of satisfied) {
      quotas.set(customer, demand);
      remainingSlots -= demand;
    }
    if (satisfied.length === 0) {
      for (const { customer, share } of unassigned) {
        const quota = Math.floor(Math.max(share, 1e-6) * slotsPerShare);
        quotas.set(customer, Math.max(1, quota));
      }
      break;
    }
    unassigned = unassigned.filter((trainer) => !satisfied.includes(trainer));
  }
  return quotas;
}
