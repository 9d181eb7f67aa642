import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type LeaseRecord, OrderLease } from "../../src/orders/order_lease.ts";

const MIN_HANDOVER_MS = 3_000;
const CLAIM_DELAY_MS = 100;

/** Simulates a log of lease records with conditional appends, and hosts that follow it. */
class LeaseSimulation {
  readonly records: LeaseRecord[] = [];
  nowMs = 10_000;

  createHost(host: string, process = `${host}/1`): SimulatedHost {
    return new SimulatedHost(this, host, process);
  }
}

class SimulatedHost {
  readonly lease: OrderLease;
  readonly #simulation: LeaseSimulation;
  #readOffset = 0;
  /** Total time for which the host's monotonic clock stood still. */
  suspendedMs = 0;

  constructor(simulation: LeaseSimulation, host: string, process: string) {
    this.#simulation = simulation;
    this.lease = new OrderLease({
      host,
      process,
      minHandoverMs: MIN_HANDOVER_MS,
      claimDelayMs: CLAIM_DELAY_MS,
    });
  }

  get now() {
    const { nowMs } = this.#simulation;
    return { monotonicMs: nowMs - this.suspendedMs, wallMs: nowMs };
  }

  /** Reads the log and appends a claim or renewal if one is due. */
  step(): void {
    this.read();
    const append = this.lease.decideAppend(this.now, true);
    if (append?.atOffset === this.#simulation.records.length) {
      this.#simulation.records.push(append.record);
    }
  }

  read(): void {
    for (
      ;
      this.#readOffset < this.#simulation.records.length;
      this.#readOffset++
    ) {
      const record = this.#simulation.records[this.#readOffset];
      if (record !== undefined) {
        this.lease.applyRecord(record, this.#readOffset, this.now);
      }
    }
    this.lease.setEndOffset(this.#simulation.records.length);
  }

  canOrder(): boolean {
    return this.lease.canOrder(this.now);
  }
}

function runFor(
  simulation: LeaseSimulation,
  hosts: readonly SimulatedHost[],
  ms: number,
) {
  for (let passed = 0; passed < ms; passed += 50) {
    simulation.nowMs += 50;
    hosts.forEach((host) => host.step());
  }
}

describe("OrderLease", () => {
  it("lets only the first holder send orders, without a wait", () => {
    const simulation = new LeaseSimulation();
    const hosts = [simulation.createHost("a"), simulation.createHost("b")];
    runFor(simulation, hosts, 1_000);
    assert.deepEqual(hosts.map((host) => host.canOrder()), [true, false]);
  });

  it("makes a new holder wait for the previous holder's term and the minimum time between holders", () => {
    const simulation = new LeaseSimulation();
    const [a, b] = [simulation.createHost("a"), simulation.createHost("b")];
    runFor(simulation, [a, b], 1_000);
    const silentSinceMs = simulation.nowMs;
    while (!b.canOrder()) {
      runFor(simulation, [b], 50);
    }
    const waitedMs = simulation.nowMs - silentSinceMs;
    assert.ok(waitedMs >= MIN_HANDOVER_MS, `${waitedMs}`);
    assert.ok(waitedMs <= MIN_HANDOVER_MS + 2_500, `${waitedMs}`);
    assert.ok(b.lease.fencingNumber > a.lease.fencingNumber);
  });

  it("does not let a former holder send orders when it resumes from a suspension", () => {
    const simulation = new LeaseSimulation();
    const [a, b] = [simulation.createHost("a"), simulation.createHost("b")];
    runFor(simulation, [a, b], 1_000);
    const suspendedAtMs = simulation.nowMs;
    runFor(simulation, [b], 4_000);
    a.suspendedMs = simulation.nowMs - suspendedAtMs;
    assert.equal(a.canOrder(), false);
    a.read();
    assert.equal(a.canOrder(), false);
  });

  it("lets a restarted process on the holder's host send orders without a wait", () => {
    const simulation = new LeaseSimulation();
    const a = simulation.createHost("a");
    runFor(simulation, [a], 1_000);
    const restarted = simulation.createHost("a", "a/2");
    runFor(simulation, [restarted], 600);
    assert.equal(restarted.canOrder(), true);
  });

  it("applies the rest of the wait to a holder that restarts before it may send orders", () => {
    const simulation = new LeaseSimulation();
    const [a, b] = [simulation.createHost("a"), simulation.createHost("b")];
    runFor(simulation, [a, b], 1_000);
    const silentSinceMs = simulation.nowMs;
    runFor(simulation, [b], 2_600);
    const restarted = simulation.createHost("b", "b/2");
    while (!restarted.canOrder()) {
      runFor(simulation, [restarted], 50);
    }
    assert.ok(simulation.nowMs - silentSinceMs >= MIN_HANDOVER_MS);
  });

  it("lets another host send orders the minimum time after a release", () => {
    const simulation = new LeaseSimulation();
    const [a, b] = [simulation.createHost("a"), simulation.createHost("b")];
    runFor(simulation, [a, b], 1_000);
    const release = a.lease.decideRelease(a.now);
    assert.ok(release !== undefined);
    simulation.records.push(release.record);
    const releasedAtMs = simulation.nowMs;
    while (!b.canOrder()) {
      runFor(simulation, [b], 50);
    }
    const waitedMs = simulation.nowMs - releasedAtMs;
    assert.ok(
      waitedMs >= MIN_HANDOVER_MS && waitedMs < MIN_HANDOVER_MS + 1_000,
      `${waitedMs}`,
    );
  });

  it("lets no two hosts send orders within the minimum time when hosts stop, restart or are suspended", () => {
    const steps = fc.array(
      fc.record({
        host: fc.nat(2),
        action: fc.constantFrom("run", "stop", "restart", "suspend"),
        ms: fc.integer({ min: 50, max: 3_000 }),
      }),
      { maxLength: 25 },
    );
    fc.assert(
      fc.property(steps, (plan) => {
        const simulation = new LeaseSimulation();
        const names = ["a", "b", "c"];
        const hosts = names.map((name) => simulation.createHost(name));
        const stopped = new Set<number>();
        const lastOrder = new Map<number, number>();
        plan.forEach(({ host, action, ms }, index) => {
          const name = names[host] ?? "a";
          if (action === "run") {
            stopped.delete(host);
          } else if (action === "restart") {
            hosts[host] = simulation.createHost(name, `${name}/r${index}`);
            stopped.delete(host);
          } else {
            stopped.add(host);
          }
          for (let passed = 0; passed < ms; passed += 50) {
            simulation.nowMs += 50;
            hosts.forEach((simulatedHost, hostIndex) => {
              if (stopped.has(hostIndex)) {
                if (action === "suspend" && hostIndex === host) {
                  simulatedHost.suspendedMs += 50;
                }
                return;
              }
              if (simulatedHost.canOrder()) {
                for (const [other, atMs] of lastOrder) {
                  assert.ok(
                    other === hostIndex ||
                      simulation.nowMs - atMs >= MIN_HANDOVER_MS,
                    `${names[hostIndex]} ${simulation.nowMs - atMs} ms after ${
                      names[other]
                    }`,
                  );
                }
                lastOrder.set(hostIndex, simulation.nowMs);
              }
              simulatedHost.step();
            });
          }
        });
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});
