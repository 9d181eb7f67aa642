/**
 * Computes the backoff before a retry.
 * @module
 */
import type { SeededRandom } from "@briarhill/common/random/seeded_random";

const DEFAULT_BASE_MS = 20;
const DEFAULT_MAX_MS = 1000;

/** Options of a backoff. */
export interface BackoffOptions {
  /** Source of the jitter. */
  readonly random: SeededRandom;
  /** Upper bound of the backoff for `attempt` 0; 20 ms by default. */
  readonly baseMs?: number;
  /** Upper bound of all backoffs; 1,000 ms by default. */
  readonly maxMs?: number;
  /** Minimum backoff as a share of its upper bound, from 0 to 1; 0 by default, which is full jitter. */
  readonly minShare?: number;
}

/**
 * Returns an exponential backoff with jitter.
 *
 * @example
 * ```ts
 * const delayMs = computeBackoffMs(2, { random });
 * ```
 * @param attempt - The number of failed attempts so far.
 * @param options - The options of the backoff.
 */
export function computeBackoffMs(
  attempt: number,
  options: BackoffOptions,
): number {
  const {
    random,
    baseMs = DEFAULT_BASE_MS,
    maxMs = DEFAULT_MAX_MS,
    minShare = 0,
  } = options;
  const share = minShare + (1 - minShare) * random.getFloat();
  return share * Math.min(maxMs, baseMs * 2 ** attempt);
}
