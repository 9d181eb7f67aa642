/**
 * Finds generations that another engine would finish earlier.
 * @module
 */
import type { DuplicatePolicy } from "./duplicate_policy.ts";
import type { LotSchedule, RunningSample } from "./lot_schedule.ts";

/**
 * Minimum running time before a generation's token rate counts, since the
 * prompt is prefilled first.
 */
const MIN_OBSERVATION_MS = 5000;

/** Options of {@link listStragglers}. */
export interface StragglerOptions {
  readonly policy: DuplicatePolicy;
  readonly nowMs: number;
  /** Tokens per millisecond that a generation started now would generate. */
  readonly newTokensPerMs: number;
}

/**
 * Lists the generations of a lot that should be duplicated, the slowest first.
 *
 * @example
 * ```ts
 * const stragglers = listStragglers(schedule, options);
 * ```
 * @param schedule - The lot's schedule.
 * @param options - The policy, the current time and the token rate of a new generation.
 */
export function listStragglers(
  schedule: LotSchedule,
  options: StragglerOptions,
): readonly RunningSample[] {
  const { policy, nowMs, newTokensPerMs } = options;
  const runningShare = schedule.running.size / schedule.lot.samples;
  return [...schedule.running.values()]
    .filter((running) =>
      !running.hasDuplicate && isTokenRateKnown(running, nowMs) &&
      policy.shouldDuplicate({
        tokensPerMs: computeTokenRate(running, nowMs),
        newTokensPerMs,
        remainingTokens: computeRemaining(schedule, running),
        runningShare,
      })
    )
    .sort((a, b) => computeTokenRate(a, nowMs) - computeTokenRate(b, nowMs));
}

/**
 * Computes the token rate of a generation started now, in tokens per
 * millisecond: that of an idle engine while none is running, the mean of the
 * running generations when all slots are in use, and a linear interpolation in
 * between.
 *
 * @example
 * ```ts
 * const newTokensPerMs = computeNewTokenRate(running, capacity);
 * ```
 * @param running - All running generations.
 * @param capacity - The current time, the slots and the token rate of an idle engine.
 */
export function computeNewTokenRate(
  running: readonly RunningSample[],
  capacity: {
    readonly nowMs: number;
    readonly slots: number;
    readonly idleTokensPerMs: number;
  },
): number {
  const { nowMs, slots, idleTokensPerMs } = capacity;
  const rates = running.filter((one) => isTokenRateKnown(one, nowMs))
    .map((one) => computeTokenRate(one, nowMs));
  if (rates.length === 0) {
    return idleTokensPerMs;
  }
  const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
  const utilization = Math.min(1, running.length / Math.max(1, slots));
  return idleTokensPerMs + (mean - idleTokensPerMs) * utilization;
}

function isTokenRateKnown(
  { startedMs }: RunningSample,
  nowMs: number,
): boolean {
  return nowMs - startedMs >= MIN_OBSERVATION_MS;
}

function computeTokenRate(
  { tokens, generation, startedMs }: RunningSample,
  nowMs: number,
): number {
  return (tokens - generation.fromToken) / (nowMs - startedMs);
}

function computeRemaining(
  schedule: LotSchedule,
  running: RunningSample,
): number {
  const expected = schedule.getExpectedTokens(running.generation.slot);
  return Math.max(expected - running.tokens, running.tokens / 2);
}
