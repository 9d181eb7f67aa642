/**
 * Picks endpoints by what this host has seen of them.
 *
 * Load pattern: many hosts send to few endpoints and none sees all of the
 * load. The own requests in flight correct the last report, the pace of each
 * endpoint is compared with its peers', and a tie is broken by chance, so that
 * hosts with equal views don't crowd one endpoint.
 * @module
 */
import type { EndpointId, FailureDomain } from "@briarhill/common/ids/ids";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { EndpointStructure } from "./endpoint.ts";
import { EndpointLoad } from "./endpoint_load.ts";

/** What a request in another failure domain costs, as a share of an idle endpoint's cost. */
const CROSSING_COST = 0.15;
/** What a pause after failures costs; only paused endpoints compare by the rest. */
const PAUSE_COST = 1_000;
/** What a new connection costs; it delays its first request by a round trip. */
const CONNECTION_COST = 0.12;
const JITTER = 0.05;

/** What is asked of a pick. */
export interface EndpointPick {
  readonly candidates: readonly EndpointStructure[];
  /** Endpoints that were tried before; taken only where no other is left. */
  readonly tried: ReadonlySet<EndpointId>;
  readonly failureDomain: FailureDomain;
  readonly nowMs: number;
}

/** The endpoints' loads, and the choice among them. */
export class EndpointBoard {
  readonly #random: SeededRandom;
  readonly #loads = new Map<EndpointId, EndpointLoad>();

  constructor(random: SeededRandom) {
    this.#random = random;
  }

  /**
   * Returns what this host has seen of an endpoint.
   *
   * @param id - The endpoint.
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
   * Forgets the endpoints that are gone.
   *
   * @param ids - The endpoints.
   */
  removeLoads(ids: readonly EndpointId[]): void {
    ids.forEach((id) => this.#loads.delete(id));
  }

  /**
   * Picks the endpoint with the least expected wait, or undefined where there is none.
   *
   * @param pick - What is asked.
   */
  pickEndpoint(pick: EndpointPick): EndpointStructure | undefined {
    const fresh = pick.candidates.filter(({ id }) => !pick.tried.has(id));
    const candidates = fresh.length > 0 ? fresh : pick.candidates;
    let best: EndpointStructure | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const cost = this.#computeCost(candidate, pick);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  #computeCost(endpoint: EndpointStructure, pick: EndpointPick): number {
    const load = this.getLoad(endpoint.id);
    const { nowMs, failureDomain } = pick;
    const requests = load.getRequests(nowMs);
    const waiting = Math.max(0, requests + 1 - endpoint.slots);
    const wait = load.pace *
      (1 + 0.5 * requests / endpoint.slots + 2 * waiting / endpoint.slots);
    const crossing = endpoint.failureDomain === failureDomain
      ? 0
      : CROSSING_COST;
    const pause = load.isPaused(nowMs) ? PAUSE_COST : 0;
    const cold = endpoint.coldMs > 0 ? 1 : 0;
    const connection = load.hasConnection(nowMs) ? 0 : CONNECTION_COST;
    return wait + crossing + connection + pause + cold +
      JITTER * this.#random.getUnit();
  }
}
