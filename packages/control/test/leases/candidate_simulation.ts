/**
 * Simulates hosts that decide by their member lists whether to compete for the
 * lease.
 * @module
 */
import {
  computeLeaseRank,
  LeaseCandidacy,
  type LeaseMember,
} from "../../src/leases/lease_candidacy.ts";
import { LEASE, LeaseSimulation } from "./lease_simulation.ts";

interface Candidate {
  readonly candidacy: LeaseCandidacy;
  view: readonly LeaseMember[];
}

export class CandidateSimulation extends LeaseSimulation {
  readonly #candidates: Candidate[] = [];

  /** Gives each host a candidacy for the lease and its initial member list. */
  setCandidacies(members: readonly LeaseMember[]): void {
    for (const index of this.hosts.keys()) {
      const candidacy = new LeaseCandidacy(`h${index}`);
      this.#candidates.push({ candidacy, view: [] });
      this.setView(index, members);
      candidacy.addLease(LEASE, this.getTime(index).monotonicMs);
    }
  }

  setView(index: number, members: readonly LeaseMember[]): void {
    const { monotonicMs } = this.getTime(index);
    const candidate = this.#getCandidate(index);
    candidate.candidacy.setMembers(members, monotonicMs);
    candidate.view = members;
  }

  getRank(index: number): number {
    const members = this.#getCandidate(index).view;
    return computeLeaseRank(LEASE, { self: `h${index}`, members });
  }

  countSeekers(): number {
    return this.hosts.filter(({ agent }) =>
      agent.getStatus(LEASE).state !== "unsought"
    ).length;
  }

  /** Applies the candidacy of a host; while it competes, reads and appends. */
  runCandidate(index: number): void {
    const { agent } = this.getHost(index);
    const { candidacy } = this.#getCandidate(index);
    const now = this.getTime(index);
    const progress = agent.getStatus(LEASE);
    if (!candidacy.shouldSeek(LEASE, progress, now.monotonicMs)) {
      agent.handleStopSeeking(LEASE);
    } else if (progress.state === "unsought") {
      agent.handleSeek(LEASE, now);
    }
    if (agent.getStatus(LEASE).state !== "unsought") {
      this.read(index, { behind: 0, lateMs: 0 });
      this.tick(index, "ok");
    }
  }

  #getCandidate(index: number): Candidate {
    const candidate = this.#candidates[index];
    if (candidate === undefined) {
      throw new RangeError(`no host ${index}`);
    }
    return candidate;
  }
}
