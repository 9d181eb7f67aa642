/**
 * Computes how often an engine that loads weights is asked for its report.
 * @module
 */

/** The interval without a limit, in milliseconds. */
const MIN_INTERVAL_MS = 150;
/** The longest interval, in milliseconds; a load must be seen to end before its timeout. */
const MAX_INTERVAL_MS = 2_000;
/** The part of a limit that reports may use. */
const MAX_RATE_SHARE = 0.5;
const MS_PER_S = 1_000;

/**
 * Returns the interval between two reports, in milliseconds.
 *
 * @example
 * ```ts
 * const intervalMs = computeReportIntervalMs(4);
 * ```
 * @param ratePerS - The limit of the engine; undefined if it has none.
 */
export function computeReportIntervalMs(ratePerS = Infinity): number {
  const intervalMs = MS_PER_S / (ratePerS * MAX_RATE_SHARE);
  return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, intervalMs));
}
