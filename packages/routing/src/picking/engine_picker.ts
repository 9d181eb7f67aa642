/**
 * The base class of the policies that pick an engine for a request.
 * @module
 */
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import {
  type EngineCandidate,
  isEligible,
  type PickRequest,
} from "./engine_candidate.ts";
import type { InFlightLedger } from "./in_flight_ledger.ts";
import type { PrefixIndex } from "./prefix_index.ts";

/** State of the engines and of this host that a pick is based on. */
export interface PickContext {
  readonly candidates: readonly EngineCandidate[];
  readonly inFlight: InFlightLedger;
  readonly prefixes: PrefixIndex;
  /** Median time per token over the engines, as measured by this host. */
  readonly medianMsPerToken: number;
  readonly nowMs: number;
  readonly random: SeededRandom;
}

/** A policy that picks an engine for a request. */
export abstract class EnginePicker {
  /**
   * Returns the engine for a request, or undefined if none can serve it.
   *
   * @param request - The requirements of the request.
   * @param context - The state of the engines.
   */
  pick(
    request: PickRequest,
    context: PickContext,
  ): EngineCandidate | undefined {
    const eligible = context.candidates.filter((it) => isEligible(it, request));
    const admitted = eligible.filter((it) =>
      it.pickShare >= 1 || context.random.getFloat() < it.pickShare
    );
    const pool = admitted.length > 0 ? admitted : eligible;
    return pool.length > 1
      ? this.pickFrom(pool, { request, context })
      : pool[0];
  }

  /**
   * Returns one of at least two engines that can serve the request.
   *
   * @param pool - The engines.
   * @param options - The request and the state of the engines.
   */
  protected abstract pickFrom(
    pool: readonly EngineCandidate[],
    options: PickOptions,
  ): EngineCandidate | undefined;
}

/** Options of `pickFrom`. */
export interface PickOptions {
  readonly request: PickRequest;
  readonly context: PickContext;
}

/**
 * Returns the item with the lowest score; the first one if several are equal.
 *
 * @example
 * ```ts
 * const least = findLeast([3, 1, 2], (count) => count);
 * ```
 * @param items - The items.
 * @param score - Returns an item's score.
 */
export function findLeast<T>(
  items: Iterable<T>,
  score: (item: T) => number,
): T | undefined {
  let least: T | undefined;
  let leastScore = Infinity;
  for (const item of items) {
    const itemScore = score(item);
    if (least === undefined || itemScore < leastScore) {
      least = item;
      leastScore = itemScore;
    }
  }
  return least;
}
