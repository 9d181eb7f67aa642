/**
 * Fits straight lines to measured points.
 * @module
 */
import { throwIfFalse } from "@briarhill/common/errors/throw_if";

/** A straight line: `base + perUnit * size`. */
export interface Slope {
  readonly base: number;
  readonly perUnit: number;
}

/** The measured value at one size. */
export interface MeasuredPoint {
  readonly size: number;
  readonly value: number;
}

/**
 * Fits a line to points by least squares.
 *
 * @example
 * ```ts
 * const slope = computeSlope([{ size: 1, value: 3 }, { size: 2, value: 5 }]);
 * ```
 * @param points - At least two points of different sizes.
 */
export function computeSlope(points: readonly MeasuredPoint[]): Slope {
  const count = points.length;
  throwIfFalse(
    count >= 2,
    `cannot fit a line: got ${count} points, need at least 2`,
  );
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
  const spread = points.reduce(
    (sum, { size }) => sum + (size - meanSize) ** 2,
    0,
  );
  throwIfFalse(spread > 0, "cannot fit a line: all points have the same size");
  const perUnit = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  ) / spread;
  return { base: meanValue - perUnit * meanSize, perUnit };
}

/**
 * Returns the value of a line at a size, at least zero.
 *
 * @example
 * ```ts
 * const bytes = computeAt(slope, 370);
 * ```
 * @param slope - The line.
 * @param size - The size.
 */
export function computeAt(slope: Slope, size: number): number {
  return Math.max(0, slope.base + slope.perUnit * size);
}

/**
 * Extrapolates a cost to a size by a line fitted to measured points. A cost
 * that appears to fall with size is treated as constant, at its mean.
 *
 * @example
 * ```ts
 * const cpuUs = computeCostAt([{ size: 1, value: 3 }, { size: 2, value: 5 }], 370);
 * ```
 * @param points - At least two points of different sizes.
 * @param size - The size.
 */
export function computeCostAt(
  points: readonly MeasuredPoint[],
  size: number,
): number {
  const slope = computeSlope(points);
  const sum = points.reduce((total, { value }) => total + value, 0);
  return slope.perUnit < 0 ? sum / points.length : computeAt(slope, size);
}
