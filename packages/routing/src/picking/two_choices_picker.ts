/**
 * A policy that picks engines by the power of two choices.
 * @module
 */
import { computeCorrectedLoad } from "./corrected_load.ts";
import type { EngineCandidate } from "./engine_candidate.ts";
import { EnginePicker, findLeast, type PickOptions } from "./engine_picker.ts";

/** Draws two engines at random and picks the one with the lower corrected load per slot. */
export class TwoChoicesPicker extends EnginePicker {
  protected override pickFrom(
    pool: readonly EngineCandidate[],
    options: PickOptions,
  ): EngineCandidate | undefined {
    const { random, inFlight } = options.context;
    return findLeast(
      drawTwo(pool, (bound) => random.getInteger(bound)),
      (it) => computeCorrectedLoad(it, inFlight) / it.slots,
    );
  }
}

/**
 * Returns two different random items of a list of at least two items.
 *
 * @example
 * ```ts
 * const [a, b] = drawTwo(pool, (bound) => random.getInteger(bound));
 * ```
 * @param items - The items.
 * @param getInteger - Returns a random non-negative integer below a bound.
 */
export function drawTwo<T>(
  items: readonly T[],
  getInteger: (bound: number) => number,
): readonly T[] {
  const first = getInteger(items.length);
  const second = (first + 1 + getInteger(items.length - 1)) % items.length;
  return [items[first] as T, items[second] as T];
}
