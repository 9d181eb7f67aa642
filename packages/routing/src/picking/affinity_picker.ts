/**
 * The policy for generation requests: fewest local requests, with prefix affinity
 * under bounded load.
 * @module
 */
import { computeCorrectedLoad } from "./corrected_load.ts";
import type { EngineCandidate, PickRequest } from "./engine_candidate.ts";
import {
  EnginePicker,
  findLeast,
  type PickContext,
  type PickOptions,
} from "./engine_picker.ts";

/** Weight of a reported request relative to a local request. */
const REPORTED_WEIGHT = 0.1;
/** Cost of a missing prefix, in local requests. */
const PREFIX_MISS_COST = 3;
/** Multiple of the mean load up to which an engine's cached prefixes count. */
const BOUNDED_LOAD_FACTOR = 1.25;
const BOUNDED_LOAD_SLACK = 1;
/** Multiple of the median time per token above which an engine counts as slow. */
const SLOW_THRESHOLD = 1.5;
/** Cost of each further multiple of the median time per token, in local requests. */
const SLOWNESS_COST = 20;
/** Breaks ties at random, so that hosts with equal observations don't pick the same engine. */
const JITTER = 0.5;

/**
 * Picks the engine with the fewest requests of this host. The number of local
 * requests is known without lag, so that hosts don't converge on one engine;
 * load reports, which lag and are the same for all hosts, count for a tenth.
 * Missing prefixes, slow engines and long round trips add to the cost.
 */
export class AffinityPicker extends EnginePicker {
  protected override pickFrom(
    pool: readonly EngineCandidate[],
    { request, context }: PickOptions,
  ): EngineCandidate | undefined {
    const { inFlight, random } = context;
    const loads = new Map(
      pool.map((it) => [it.id, computeCorrectedLoad(it, inFlight)]),
    );
    let sum = 0;
    loads.forEach((load) => sum += load);
    const bound = sum / pool.length * BOUNDED_LOAD_FACTOR + BOUNDED_LOAD_SLACK;
    return findLeast(pool, (it) => {
      const load = loads.get(it.id) ?? 0;
      return load * REPORTED_WEIGHT + JITTER * random.getFloat() +
        computeCost(it, { request, context, isBelowBound: load <= bound });
    });
  }
}

/** Returns the cost of an engine without its reported load, in local requests. */
function computeCost(
  candidate: EngineCandidate,
  options: {
    readonly request: PickRequest;
    readonly context: PickContext;
    readonly isBelowBound: boolean;
  },
): number {
  const { request: { prefixHash, requestClass }, context } = options;
  const { inFlight, prefixes, nowMs, medianMsPerToken } = context;
  const { id, msPerToken, roundTripMs } = candidate;
  const localRequests = requestClass === "rollout"
    ? inFlight.getOpen(id)
    : inFlight.getOpenLive(id);
  const slowness = Math.max(0, msPerToken / medianMsPerToken - SLOW_THRESHOLD);
  const isCached = options.isBelowBound &&
    prefixes.hasPrefix(id, { prefixHash, nowMs });
  const missCost = prefixHash === "" || isCached ? 0 : PREFIX_MISS_COST;
  return localRequests + slowness * SLOWNESS_COST + missCost +
    roundTripMs / medianMsPerToken;
}
