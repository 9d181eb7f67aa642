/**
 * Defines the results of a run of the traffic model.
 * @module
 */

/** The results of one run of the model. */
export interface TrafficResult {
  readonly liveCalls: number;
  readonly refused: number;
  readonly firstTokenP99Ms: number;
  readonly completeP50Ms: number;
  readonly completeP99Ms: number;
  /**
   * The difference between the first customer's part of all training tokens and its
   * share.
   */
  readonly shareError: number;
  readonly rollouts: number;
}

/**
 * Returns a quantile of some values, or 0 when there are none.
 *
 * @example
 * ```ts
 * const p99 = getQuantile(latenciesMs, 0.99);
 * ```
 * @param values - The values in any order.
 * @param quantile - The quantile, from 0 to 1.
 */
export function getQuantile(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * quantile),
  );
  return sorted[index] ?? 0;
}
