/**
 * Picks endpoints by the load and latency that this host observed.
 *
 * Under load, many hosts send to few endpoints and no host observes all of the
 * requests. The local requests in flight correct the last report, the latency
 * of each endpoint is compared with that of its peers, and ties are broken at
 * random, so that hosts with equal observations don't overload one endpoint.
 * @module
 */
import type { EndpointId, FailureDomain } from "@briarhill/common/ids/ids";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { EndpointStructure } from "./endpoint.ts";
import { type ExpectedTimePick, pickNearBest } from "./expected_time.ts";
import { EndpointLoad } from "./endpoint_load.ts";

/** Cost of a request to another failure domain, as a share of an idle endpoint's cost. */
const CROSS_DOMAIN_COST = 0.15;
/** Cost of a paused endpoint; it exceeds all other costs, which then only rank paused endpoints. */
const PAUSED_COST = 1_000;
/** Cost of a new connection, which delays its first request by a round trip. */
const NEW_CONNECTION_COST = 0.12;
const JITTER = 0.05;

/**
 * Why an endpoint was picked: it was the only candidate, it had the lowest cost, or
 * it was near the best expected time, without or by an idle connection.
 */
export type PickReason = "only" | "cost" | ExpectedTimePick["reason"];

/** Options of a pick. */
export interface EndpointPickOptions {
  readonly candidates: readonly EndpointStructure[];
  /** Endpoints that were tried before; picked only if there is no other candidate. */
  readonly tried: ReadonlySet<EndpointId>;
  readonly failureDomain: FailureDomain;
  readonly nowMs: number;
}

/** Holds the observed load of each endpoint and picks the one with the lowest cost. */
export class EndpointPicker {
  readonly #random: SeededRandom;
  #countIdle: ((endpoint: EndpointStructure) => number) | undefined;
  #onPick: (reason: PickReason) => void = () => undefined;
  readonly #loads = new Map<EndpointId, EndpointLoad>();

  constructor(random: SeededRandom) {
    this.#random = random;
  }

  /**
   * Returns the load that this host observed of an endpoint.
   *
   * @param id - The endpoint's ID.
   */
  getLoad(id: EndpointId): EndpointLoad {
    const known = this.#loads.get(id);
    if (known !== undefined) {
      return known;
    }
    const load = new EndpointLoad();
    this.#loads.set(id, load);
    return load;
  }

  /**
   * Sets how the idle connections to an endpoint are counted. Without it, they are
   * estimated from earlier requests.
   *
   * @param countIdle - Returns the number of idle connections to an endpoint.
   */
  setIdleCounter(countIdle: (endpoint: EndpointStructure) => number): void {
    this.#countIdle = countIdle;
  }

  /**
   * Sets what is called with the reason of each pick.
   *
   * @param onPick - Called with the reason.
   */
  setPickListener(onPick: (reason: PickReason) => void): void {
    this.#onPick = onPick;
  }

  /**
   * Removes the observations of endpoints that no longer exist.
   *
   * @param ids - The endpoints' IDs.
   */
  removeLoads(ids: readonly EndpointId[]): void {
    ids.forEach((id) => this.#loads.delete(id));
  }

  /**
   * Returns an endpoint with a low cost, or undefined if there are no candidates.
   * Endpoints that state how long work takes there are compared by the expected
   * time to the response.
   *
   * @param options - The options of the pick.
   */
  pickEndpoint(options: EndpointPickOptions): EndpointStructure | undefined {
    const untried = options.candidates.filter(({ id }) =>
      !options.tried.has(id)
    );
    const candidates = untried.length > 0 ? untried : options.candidates;
    const [first] = candidates;
    if (first === undefined) {
      return undefined;
    }
    if (candidates.length === 1) {
      this.#onPick("only");
      return first;
    }
    return candidates.some(({ id }) => this.getLoad(id).estimate.isStated)
      ? this.#pickByExpectedTime(candidates, options)
      : this.#pickByCost(candidates, options);
  }

  /** Endpoints that have not stated their load yet count as usual ones without requests of others. */
  #pickByExpectedTime(
    candidates: readonly EndpointStructure[],
    options: EndpointPickOptions,
  ): EndpointStructure | undefined {
    const { nowMs } = options;
    const expectations = candidates.map((endpoint) => {
      const { estimate, inFlight } = this.getLoad(endpoint.id);
      return {
        pace: estimate.getPace(nowMs),
        ownRequests: inFlight,
        otherRequests: estimate.getOthers(nowMs),
        slots: endpoint.slots,
        extraTime: this.#computeExtraCost(endpoint, options),
        hasConnection: this.#hasConnection(endpoint, nowMs),
      };
    });
    const { index, reason } = pickNearBest(expectations, this.#random);
    this.#onPick(reason);
    return candidates[index];
  }

  #pickByCost(
    candidates: readonly EndpointStructure[],
    options: EndpointPickOptions,
  ): EndpointStructure | undefined {
    let best: EndpointStructure | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const cost = this.#computeCost(candidate, options);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    this.#onPick("cost");
    return best;
  }

  #computeCost(
    endpoint: EndpointStructure,
    options: EndpointPickOptions,
  ): number {
    const load = this.getLoad(endpoint.id);
    const { nowMs } = options;
    const requests = load.getRequests(nowMs);
    const queued = Math.max(0, requests + 1 - endpoint.slots);
    const waitCost = load.latencyRatio *
      (1 + 0.5 * requests / endpoint.slots + 2 * queued / endpoint.slots);
    const connectionCost = this.#hasConnection(endpoint, nowMs)
      ? 0
      : NEW_CONNECTION_COST;
    return waitCost + connectionCost +
      this.#computeExtraCost(endpoint, options) +
      JITTER * this.#random.getFloat();
  }

  /** Returns the cost that does not depend on the load, as a multiple of an idle endpoint's cost. */
  #computeExtraCost(
    endpoint: EndpointStructure,
    { nowMs, failureDomain }: EndpointPickOptions,
  ): number {
    const load = this.getLoad(endpoint.id);
    const domainCost = endpoint.failureDomain === failureDomain
      ? 0
      : CROSS_DOMAIN_COST;
    const pausedCost = load.isPaused(nowMs) ? PAUSED_COST : 0;
    const coldCost = endpoint.coldMs > 0 ? 1 : 0;
    return domainCost + pausedCost + coldCost;
  }

  #hasConnection(endpoint: EndpointStructure, nowMs: number): boolean {
    return this.#countIdle === undefined
      ? this.getLoad(endpoint.id).hasConnection(nowMs)
      : this.#countIdle(endpoint) > 0;
  }
}
