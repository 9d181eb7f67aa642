import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type LeaseRecord, OrderLease } from "../../src/orders/order_lease.ts";

const TURN_MS = 3_000;
const CLAIM_DELAY_MS = 100;

/** A log of lease records with conditional appends, and the hosts that follow it. */
class LeaseWorld {
  readonly records: LeaseRecord[] = [];
  nowMs = 10_000;

  createHost(host: string, process = `${host}/1`): LeaseHost {
    return new LeaseHost(this, host, process);
  }
}

class LeaseHost {
  readonly lease: OrderLease;
  readonly #world: LeaseWorld;
  #read = 0;
  /** How long its clocks differ from the world's while it is suspended. */
  suspendedMs = 0;

  constructor(world: LeaseWorld, host: string, process: string) {
    this.#world = world;
    this.lease = new OrderLease({
      host,
      process,
      turnMs: TURN_MS,
      claimDelayMs: CLAIM_DELAY_MS,
    });
  }

  get now() {
    const { nowMs } = this.#world;
    return { monotonicMs: nowMs - this.suspendedMs, wallMs: nowMs };
  }

  /** Reads the log and appends what is due. */
  step(): void {
    this.read();
    const append = this.lease.decideAppend(this.now, true);
    if (append?.atOffset === this.#world.records.length) {
      this.#world.records.push(append.record);
    }
  }

  read(): void {
    for (; this.#read < this.#world.records.length; this.#read++) {
      const record = this.#world.records[this.#read];
      if (record !== undefined) {
        this.lease.applyRecord(record, this.#read, this.now);
      }
    }
    this.lease.setEndOffset(this.#world.records.length);
  }

  canOrder(): boolean {
    return this.lease.canOrder(this.now);
  }
}

function runFor(world: LeaseWorld, hosts: readonly LeaseHost[], ms: number) {
  for (let passed = 0; passed < ms; passed += 50) {
    world.nowMs += 50;
    hosts.forEach((host) => host.step());
  }
}

describe("OrderLease", () => {
  it("lets the first holder order at once, and only one", () => {
    const world = new LeaseWorld();
    const hosts = [world.createHost("a"), world.createHost("b")];
    runFor(world, hosts, 1_000);
    assert.deepEqual(hosts.map((host) => host.canOrder()), [true, false]);
  });

  it("makes a new holder wait until the old one's term and the turn are over", () => {
    const world = new LeaseWorld();
    const [a, b] = [world.createHost("a"), world.createHost("b")];
    runFor(world, [a, b], 1_000);
    const silentSinceMs = world.nowMs;
    while (!b.canOrder()) {
      runFor(world, [b], 50);
    }
    const waitedMs = world.nowMs - silentSinceMs;
    assert.ok(waitedMs >= TURN_MS, `${waitedMs}`);
    assert.ok(waitedMs <= TURN_MS + 2_500, `${waitedMs}`);
    assert.ok(b.lease.token > a.lease.token);
  });

  it("does not let a suspended holder order after it wakes", () => {
    const world = new LeaseWorld();
    const [a, b] = [world.createHost("a"), world.createHost("b")];
    runFor(world, [a, b], 1_000);
    const sleptFromMs = world.nowMs;
    runFor(world, [b], 4_000);
    a.suspendedMs = world.nowMs - sleptFromMs;
    assert.equal(a.canOrder(), false);
    a.read();
    assert.equal(a.canOrder(), false);
  });

  it("lets the holder's host go on at once after a restart", () => {
    const world = new LeaseWorld();
    const a = world.createHost("a");
    runFor(world, [a], 1_000);
    const again = world.createHost("a", "a/2");
    runFor(world, [again], 600);
    assert.equal(again.canOrder(), true);
  });

  it("keeps the wait of a holder that restarts while it waits", () => {
    const world = new LeaseWorld();
    const [a, b] = [world.createHost("a"), world.createHost("b")];
    runFor(world, [a, b], 1_000);
    const silentSinceMs = world.nowMs;
    runFor(world, [b], 2_600);
    const again = world.createHost("b", "b/2");
    while (!again.canOrder()) {
      runFor(world, [again], 50);
    }
    assert.ok(world.nowMs - silentSinceMs >= TURN_MS);
  });

  it("hands over after a release, once the turn is over", () => {
    const world = new LeaseWorld();
    const [a, b] = [world.createHost("a"), world.createHost("b")];
    runFor(world, [a, b], 1_000);
    const release = a.lease.decideRelease(a.now);
    assert.ok(release !== undefined);
    world.records.push(release.record);
    const releasedAtMs = world.nowMs;
    while (!b.canOrder()) {
      runFor(world, [b], 50);
    }
    const waitedMs = world.nowMs - releasedAtMs;
    assert.ok(waitedMs >= TURN_MS && waitedMs < TURN_MS + 1_000, `${waitedMs}`);
  });

  it("never lets two hosts order within a turn, whatever stops and starts", () => {
    const steps = fc.array(
      fc.record({
        host: fc.nat(2),
        what: fc.constantFrom("run", "stop", "restart", "suspend"),
        ms: fc.integer({ min: 50, max: 3_000 }),
      }),
      { maxLength: 25 },
    );
    fc.assert(
      fc.property(steps, (plan) => {
        const world = new LeaseWorld();
        const names = ["a", "b", "c"];
        const hosts = names.map((name) => world.createHost(name));
        const stopped = new Set<number>();
        const lastOrder = new Map<number, number>();
        plan.forEach(({ host, what, ms }, index) => {
          const name = names[host] ?? "a";
          if (what === "run") {
            stopped.delete(host);
          } else if (what === "restart") {
            hosts[host] = world.createHost(name, `${name}/r${index}`);
            stopped.delete(host);
          } else {
            stopped.add(host);
          }
          for (let passed = 0; passed < ms; passed += 50) {
            world.nowMs += 50;
            hosts.forEach((one, number) => {
              if (stopped.has(number)) {
                if (what === "suspend" && number === host) {
                  one.suspendedMs += 50;
                }
                return;
              }
              if (one.canOrder()) {
                for (const [other, atMs] of lastOrder) {
                  assert.ok(
                    other === number || world.nowMs - atMs >= TURN_MS,
                    `${names[number]} ${world.nowMs - atMs} ms after ${
                      names[other]
                    }`,
                  );
                }
                lastOrder.set(number, world.nowMs);
              }
              one.step();
            });
          }
        });
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});
