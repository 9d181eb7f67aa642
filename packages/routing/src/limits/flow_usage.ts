/**
 * Counts the recent permits of each flow, so that flows can take turns, and the
 * workspaces within a flow.
 * @module
 */
import { WorkspaceTurns } from "../workspaces/workspace_turns.ts";
import type { PermitRequest } from "./permit.ts";

/** The time in which a count falls to half, in milliseconds. */
const HALF_LIFE_MS = 2_000;
/** The share of the recent permits below which a waiting flow goes first, whatever its priority. */
const MIN_SHARE = 0.1;

interface DecayingCount {
  readonly count: number;
  readonly atMs: number;
}

/** The recent permits of each flow; older permits count less. */
export class FlowUsage {
  readonly #counts = new Map<string, DecayingCount>();
  /** The turns of the workspaces of each flow. */
  readonly #turns = new Map<string, WorkspaceTurns>();

  /**
   * Counts a permit.
   *
   * @param request - The request that the permit was granted to.
   * @param nowMs - The current time.
   */
  addGrant({ flow, workspace }: PermitRequest, nowMs: number): void {
    const count = this.getGrants(flow, nowMs) + 1;
    this.#counts.set(flow, { count, atMs: nowMs });
    const turns = this.#turns.get(flow) ?? new WorkspaceTurns();
    this.#turns.set(flow, turns);
    turns.addTurn(workspace);
  }

  /**
   * Returns the number of recent permits of a flow.
   *
   * @param flow - The flow.
   * @param nowMs - The current time.
   */
  getGrants(flow: string, nowMs: number): number {
    const known = this.#counts.get(flow);
    return known === undefined
      ? 0
      : known.count * 2 ** ((known.atMs - nowMs) / HALF_LIFE_MS);
  }

  /**
   * Returns whether a request is served before another one that has waited for longer.
   *
   * @param first - The request.
   * @param second - The request that has waited for longer.
   * @param nowMs - The current time.
   */
  isServedBefore(
    first: PermitRequest,
    second: PermitRequest,
    nowMs: number,
  ): boolean {
    if (first.flow === second.flow) {
      return first.priority === second.priority
        ? this.#getStart(first) < this.#getStart(second)
        : first.priority < second.priority;
    }
    const isFirstStarved = this.isStarved(first.flow, nowMs);
    if (isFirstStarved !== this.isStarved(second.flow, nowMs)) {
      return isFirstStarved;
    }
    return first.priority === second.priority
      ? this.getGrants(first.flow, nowMs) < this.getGrants(second.flow, nowMs)
      : first.priority < second.priority;
  }

  /**
   * Returns whether a flow has less than its minimum share of the recent permits.
   *
   * @param flow - The flow.
   * @param nowMs - The current time.
   */
  isStarved(flow: string, nowMs: number): boolean {
    let total = 0;
    for (const key of this.#counts.keys()) {
      total += this.getGrants(key, nowMs);
    }
    return this.getGrants(flow, nowMs) < MIN_SHARE * total;
  }

  #getStart({ flow, workspace }: PermitRequest): number {
    return this.#turns.get(flow)?.getStart(workspace) ?? 0;
  }
}
