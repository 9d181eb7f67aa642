/**
 * Picks an endpoint by the expected time to its response.
 *
 * Load pattern: many hosts with equally old views of a few uneven endpoints
 * choose at the same moment. If each took the best one, that one would be overrun
 * while others idle. A host therefore picks at random among the endpoints near
 * the best, in proportion to the rate at which they can still take requests, and
 * the more so the smaller its own share of the requests is.
 * @module
 */
import type { SeededRandom } from "@briarhill/common/random/seeded_random";

/** Range of expected times above the best one that counts as near it, for a host whose share of the requests is negligible. */
const NEAR_RATIO = 0.75;
/** Time that a new connection takes, as a multiple of the usual duration of work: a round trip, and a slot for a moment. */
const CONNECTION_TIME = 0.25;
/** Free slots that a full endpoint is credited with, as some of its requests end meanwhile. */
const MIN_FREE_SLOTS = 0.2;

/** The index of a picked endpoint, and whether a connection to it has decided. */
export interface ExpectedTimePick {
  readonly index: number;
  readonly reason: "near-best" | "connected";
}

/** What is expected of an endpoint. */
export interface EndpointExpectation {
  /** Duration of work as a multiple of the usual one of the service. */
  readonly pace: number;
  /** Number of requests that this host has in flight there. */
  readonly ownRequests: number;
  /** Expected number of requests of other hosts. */
  readonly otherRequests: number;
  readonly slots: number;
  /** Additional time of a request there, as a multiple of the usual duration of work. */
  readonly extraTime: number;
  /** Whether an open connection to it is idle. */
  readonly hasConnection: boolean;
}

/**
 * Returns the expected time from sending a request to its response, as a multiple
 * of the usual duration of work.
 *
 * @example
 * ```ts
 * const time = computeExpectedTime({
 *   pace: 1.7,
 *   ownRequests: 1,
 *   otherRequests: 4.5,
 *   slots: 6,
 *   extraTime: 0,
 *   hasConnection: true,
 * });
 * ```
 * @param expectation - What is expected of the endpoint.
 */
export function computeExpectedTime(expectation: EndpointExpectation): number {
  const { pace, slots, extraTime, hasConnection } = expectation;
  const connectionTime = hasConnection ? 0 : CONNECTION_TIME;
  const excess = countRequests(expectation) + 1 - slots;
  // The number of requests is uncertain, so a queue is possible below the number of slots.
  const queued = Math.max(0, excess) + Math.log1p(Math.exp(-Math.abs(excess)));
  return pace * (1 + queued / slots) + extraTime + connectionTime;
}

/**
 * Picks an endpoint whose expected time is near the best one; the index is -1 if
 * there is none. An endpoint to which a connection is open is preferred unless
 * it is worse by more than a new connection costs, so that a host keeps to the few
 * endpoints that it has connections to.
 *
 * @example
 * ```ts
 * declare const expectations: readonly EndpointExpectation[];
 * declare const random: import("@briarhill/common/random/seeded_random").SeededRandom;
 *
 * const { index } = pickNearBest(expectations, random);
 * ```
 * @param expectations - What is expected of each endpoint.
 * @param random - The source of random numbers.
 */
export function pickNearBest(
  expectations: readonly EndpointExpectation[],
  random: SeededRandom,
): ExpectedTimePick {
  const times = expectations.map(computeExpectedTime);
  const limit = Math.min(...times) *
    (1 + NEAR_RATIO * (1 - computeOwnShare(expectations)));
  const rates = expectations.map((expectation, index) =>
    (times[index] ?? Infinity) <= limit ? computeFreeRate(expectation) : 0
  );
  const picked = drawIndex(rates, random);
  if (expectations[picked]?.hasConnection !== false) {
    return { index: picked, reason: "near-best" };
  }
  const connected = drawIndex(
    rates.map((rate, index) =>
      expectations[index]?.hasConnection === true &&
        (times[index] ?? Infinity) <= (times[picked] ?? 0)
        ? rate
        : 0
    ),
    random,
  );
  return connected >= 0
    ? { index: connected, reason: "connected" }
    : { index: picked, reason: "near-best" };
}

/** Returns a random index in proportion to the weights, or -1 if none is positive. */
function drawIndex(weights: readonly number[], random: SeededRandom): number {
  let remaining = random.getFloat() *
    weights.reduce((sum, weight) => sum + weight, 0);
  const drawn = weights.findIndex((weight) => (remaining -= weight) < 0);
  return drawn >= 0 ? drawn : weights.findLastIndex((weight) => weight > 0);
}

function countRequests(
  { ownRequests, otherRequests }: EndpointExpectation,
): number {
  return ownRequests + otherRequests;
}

/** Returns the share of this host in the requests at all endpoints. */
function computeOwnShare(expectations: readonly EndpointExpectation[]): number {
  const own = expectations.reduce((sum, item) => sum + item.ownRequests, 0);
  const all = expectations.reduce((sum, item) => sum + countRequests(item), 0);
  return all > 0 ? own / all : 0;
}

function computeFreeRate(expectation: EndpointExpectation): number {
  const free = expectation.slots - countRequests(expectation);
  return Math.max(MIN_FREE_SLOTS, free) / expectation.pace;
}
