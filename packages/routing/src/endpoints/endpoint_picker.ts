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
import { EndpointLoad } from "./endpoint_load.ts";

/** Cost of a request to another failure domain, as a share of an idle endpoint's cost. */
const CROSS_DOMAIN_COST = 0.15;
/** Cost of a paused endpoint; it exceeds all other costs, which then only rank paused endpoints. */
const PAUSED_COST = 1_000;
/** Cost of a new connection, which delays its first request by a round trip. */
const NEW_CONNECTION_COST = 0.12;
const JITTER = 0.05;

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
   * Removes the observations of endpoints that no longer exist.
   *
   * @param ids - The endpoints' IDs.
   */
  removeLoads(ids: readonly EndpointId[]): void {
    ids.forEach((id) => this.#loads.delete(id));
  }

  /**
   * Returns the endpoint with the lowest cost, or undefined if there are no candidates.
   *
   * @param options - The options of the pick.
   */
  pickEndpoint(options: EndpointPickOptions): EndpointStructure | undefined {
    const untried = options.candidates.filter(({ id }) =>
      !options.tried.has(id)
    );
    const candidates = untried.length > 0 ? untried : options.candidates;
    let best: EndpointStructure | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const cost = this.#computeCost(candidate, options);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  #computeCost(
    endpoint: EndpointStructure,
    options: EndpointPickOptions,
  ): number {
    const load = this.getLoad(endpoint.id);
    const { nowMs, failureDomain } = options;
    const requests = load.getRequests(nowMs);
    const queued = Math.max(0, requests + 1 - endpoint.slots);
    const waitCost = load.latencyRatio *
      (1 + 0.5 * requests / endpoint.slots + 2 * queued / endpoint.slots);
    const domainCost = endpoint.failureDomain === failureDomain
      ? 0
      : CROSS_DOMAIN_COST;
    const pausedCost = load.isPaused(nowMs) ? PAUSED_COST : 0;
    const coldCost = endpoint.coldMs > 0 ? 1 : 0;
    const connectionCost = load.hasConnection(nowMs) ? 0 : NEW_CONNECTION_COST;
    return waitCost + domainCost + connectionCost + pausedCost + coldCost +
      JITTER * this.#random.getFloat();
  }
}
