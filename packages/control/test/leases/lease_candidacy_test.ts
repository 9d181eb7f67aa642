import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  computeLeaseRank,
  LEASE_CANDIDATES,
  type LeaseMember,
} from "../../src/leases/lease_candidacy.ts";
import { CandidateSimulation } from "./candidate_simulation.ts";

const HOSTS = 8;
const STEP_MS = 500;
const MAX_UNHELD_MS = 200_000;

function createMembers(count: number): readonly LeaseMember[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `h${index}`,
    failureDomain: `domain-${index % 3}`,
  }));
}

describe("computeLeaseRank", () => {
  it("gives each host its own rank, the first in different domains", () => {
    const members = createMembers(30);
    for (const lease of ["snapshots", "weights/a", "weights/b"]) {
      const ranks = members.map(({ host }) =>
        computeLeaseRank(lease, { self: host, members })
      );
      assert.equal(new Set(ranks).size, members.length);
      const domains = members
        .filter((_, index) => (ranks[index] ?? 0) < LEASE_CANDIDATES)
        .map(({ failureDomain }) => failureDomain);
      assert.equal(new Set(domains).size, LEASE_CANDIDATES);
    }
  });
});

/** An event, after which the hosts run for some steps without another. */
const event = fc.record({
  host: fc.integer({ min: 0, max: HOSTS - 1 }),
  kind: fc.constantFrom("down", "up", "view", "pause"),
  /** One bit for each host that the view holds. */
  view: fc.integer({ min: 0, max: 2 ** HOSTS - 1 }),
  steps: fc.integer({ min: 1, max: 80 }),
});

function runStep(
  simulation: CandidateSimulation,
  up: readonly boolean[],
): void {
  simulation.advance(STEP_MS);
  up.forEach((isUp, index) => {
    if (isUp) {
      simulation.runCandidate(index);
    }
  });
  const holders = simulation.listHolders().filter((index) => up[index]);
  assert.ok(holders.length <= 1, `hosts ${holders} hold the lease at once`);
}

describe("LeaseCandidacy", () => {
  it("finds one holder under any member lists while a host is up", () => {
    const members = createMembers(HOSTS);
    let otherHolders = 0;
    fc.assert(
      fc.property(
        fc.array(event, { minLength: 4, maxLength: 16 }),
        (events) => {
          const simulation = new CandidateSimulation(HOSTS);
          simulation.setCandidacies(members);
          const up = members.map(() => true);
          for (const { host, kind, view, steps } of events) {
            if (kind === "view") {
              const visible = members.filter((_, index) =>
                index === host || (view >> index) % 2 === 1
              );
              simulation.setView(host, visible);
            } else {
              up[host] = kind === "up" || up.filter(Boolean).length === 1;
            }
            for (let step = 0; step < steps; step++) {
              runStep(simulation, up);
            }
          }
          let waitedMs = 0;
          while (!simulation.listHolders().some((index) => up[index])) {
            runStep(simulation, up);
            waitedMs += STEP_MS;
            assert.ok(
              waitedMs <= MAX_UNHELD_MS,
              "the lease has no holder for too long",
            );
          }
          const [holder] = simulation.listHolders();
          otherHolders += simulation.getRank(holder ?? 0) < LEASE_CANDIDATES
            ? 0
            : 1;
        },
      ),
      { seed: 5, numRuns: 150 },
    );
    assert.ok(
      otherHolders > 10,
      `only ${otherHolders} holders were not candidates`,
    );
  });

  it("has few more followers than candidates while the lease is held", () => {
    const simulation = new CandidateSimulation(HOSTS);
    simulation.setCandidacies(createMembers(HOSTS));
    const up = Array.from({ length: HOSTS }, () => true);
    let follows = 0;
    for (let step = 0; step < 1_200; step++) {
      runStep(simulation, up);
      follows += simulation.countSeekers();
    }
    // The other hosts follow for about 10 s at intervals of 30 to 150 s.
    const mean = follows / 1_200;
    assert.ok(mean < LEASE_CANDIDATES + 1.5, `${mean} followers on average`);
    assert.equal(simulation.listHolders().length, 1);
  });
});
