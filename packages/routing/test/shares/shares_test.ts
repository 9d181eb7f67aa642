import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  computeHostLimits,
  type HostLimits,
} from "../../src/shares/host_limits.ts";
import { computeTotal, type ShareSums } from "../../src/shares/share_sums.ts";
import { TrainingThrottle } from "../../src/shares/training_throttle.ts";
import { createContract, ShareSimulation, SLOTS } from "./share_simulation.ts";

const CONTRACTS = [
  createContract("a", { share: 0.6, liveFloor: 0.2 }),
  createContract("b", { share: 0.4, liveFloor: 0.2 }),
];
/** Slots that training may use: all except the live floors. */
const TRAINING_SLOTS = SLOTS * 0.8;
/** Maximum share error stated by the design for hosts that can reach each other. */
const ERROR_BOUND = 0.05;
/** Maximum share error stated by the design for the sides of a partition. */
const PARTITION_ERROR_BOUND = 0.1;
/** Maximum ratio of used to available slots on both sides, once load reports have arrived. */
const OVERCOMMIT_BOUND = 1.25;

function createSimulation(
  backlog: (host: number, customer: string) => number,
): ShareSimulation {
  return new ShareSimulation({
    hosts: 12,
    contracts: CONTRACTS,
    seed: 3,
    backlog,
  });
}

function getShare(used: ReadonlyMap<string, number>, customer: string): number {
  const total = [...used.values()].reduce((sum, value) => sum + value, 0);
  return (used.get(customer) ?? 0) / total;
}

function createSums(index: number): ShareSums {
  const rows = [{ customer: "a", live: index, rollouts: 400 - 30 * index }];
  return { hosts: 1, demands: rows, dueSlots: 0, unmetSlots: 0 };
}

function computeAll(sums: readonly ShareSums[]): readonly HostLimits[] {
  const total = computeTotal(sums);
  return sums.map((own) =>
    computeHostLimits({
      contracts: CONTRACTS,
      totalSlots: SLOTS,
      hosts: sums.length,
      local: own,
      total,
      trainingShare: 1,
    })
  );
}

describe("computeHostLimits", () => {
  it("divides all slots among the hosts once the needs are known", () => {
    const first = Array.from({ length: 12 }, (_, index) => createSums(index));
    const second = computeAll(first)
      .map((need, index) => ({ ...first[index] ?? createSums(0), ...need }));
    const limits = computeAll(second).map((it) => it.limits);
    const total = limits.reduce((sum, it) => sum + it.totalSlots, 0);
    assert.ok(Math.abs(total - SLOTS) < 1e-6, `${total} slots granted`);
    const floors = limits.reduce(
      (sum, it) => sum + (it.customers[0]?.floorSlots ?? 0),
      0,
    );
    assert.ok(Math.abs(floors - SLOTS * 0.12) < 1e-6, `${floors} floor slots`);
  });

  it("never grants more than the available slots before the needs are known", () => {
    const sums = Array.from({ length: 12 }, (_, index) => createSums(index));
    const granted = computeAll(sums)
      .reduce((sum, { limits }) => sum + limits.totalSlots, 0);
    assert.ok(granted <= SLOTS + 1e-6, `${granted} slots granted`);
  });
});

describe("Shares over 12 hosts", () => {
  it("stay within the stated error under uneven demand", () => {
    const simulation = createSimulation((host, customer) =>
      customer === "a" ? (host < 4 ? 60 : 0) : 20
    );
    simulation.run(20_000);
    const used = simulation.run(40_000);
    assert.ok(Math.abs(getShare(used, "a") - 0.6) <= ERROR_BOUND, "share");
    const total = [...used.values()].reduce((sum, value) => sum + value, 0);
    assert.ok(total <= TRAINING_SLOTS * (1 + ERROR_BOUND), `${total} used`);
    assert.ok(total >= TRAINING_SLOTS * (1 - 2 * ERROR_BOUND), `${total} used`);
  });

  it("lend the slots that one customer leaves idle", () => {
    const simulation = createSimulation((_, customer) =>
      customer === "a" ? 40 : 0
    );
    simulation.run(20_000);
    const used = simulation.run(20_000);
    assert.ok((used.get("a") ?? 0) >= TRAINING_SLOTS * 0.9, `${used.get("a")}`);
  });

  it("stay within the stated error while a partition lasts", () => {
    const simulation = createSimulation((host, customer) =>
      customer === "a" ? (host < 6 ? 40 : 10) : 20
    );
    simulation.run(20_000);
    simulation.hosts.slice(0, 5).forEach((host) => host.partitionSide = 1);
    simulation.isPartitionDetected = true;
    simulation.run(20_000);
    const used = simulation.run(40_000);
    const total = [...used.values()].reduce((sum, value) => sum + value, 0);
    assert.ok(
      Math.abs(getShare(used, "a") - 0.6) <= PARTITION_ERROR_BOUND,
      `share ${getShare(used, "a")}`,
    );
    assert.ok(total <= SLOTS * OVERCOMMIT_BOUND, `${total} of ${SLOTS} slots`);
  });
});

describe("TrainingThrottle.applyReports", () => {
  it("decreases to a minimum share while engines are overcommitted, then recovers", () => {
    const throttle = new TrainingThrottle();
    const apply = (running: number) =>
      throttle.applyReports([{ running, queued: 0, slots: 100 }]);
    apply(101);
    assert.equal(throttle.share, 1);
    for (let count = 0; count < 50; count++) {
      apply(150);
    }
    assert.equal(throttle.share, 0.1);
    for (let count = 0; count < 50; count++) {
      apply(90);
    }
    assert.equal(throttle.share, 1);
  });
});
