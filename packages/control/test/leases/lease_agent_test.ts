import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { LeaseAgent } from "../../src/leases/lease_agent.ts";
import { encodeLeaseRecord } from "../../src/leases/lease_record.ts";
import { LEASE_WAIT_MS, type LeaseTime } from "../../src/leases/lease_time.ts";
import {
  applyLeaseRecord,
  createLeaseTable,
  type LeaseTable,
} from "../../src/leases/lease_table.ts";
import {
  type AppendResult,
  LEASE,
  LeaseSimulation,
  LONGEST_ORDER_MS,
} from "./lease_simulation.ts";

const HOSTS = 3;
const SUSPENDED_HOST = 0;

type Operation = (simulation: LeaseSimulation) => void;

const host = fc.integer({ min: 0, max: HOSTS - 1 });
const appendResult = fc.oneof(
  { weight: 6, arbitrary: fc.constant<AppendResult>("ok") },
  {
    weight: 3,
    arbitrary: fc.constantFrom<AppendResult>(
      "answer-lost",
      "late",
      "lost",
      "refused",
    ),
  },
);

const operation: fc.Arbitrary<Operation> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.integer({ min: 50, max: 4_000 }).map(
      (ms) => (simulation: LeaseSimulation) => simulation.advance(ms),
    ),
  },
  {
    weight: 8,
    arbitrary: fc.tuple(host, appendResult).map(
      ([index, result]) => (simulation: LeaseSimulation) =>
        simulation.tick(index, result),
    ),
  },
  {
    weight: 8,
    arbitrary: fc.tuple(
      host,
      fc.record({
        behind: fc.oneof(
          { weight: 4, arbitrary: fc.constant(0) },
          fc.integer({ min: 1, max: 4 }),
        ),
        lateMs: fc.oneof(
          { weight: 3, arbitrary: fc.constant(0) },
          fc.integer({ min: 1, max: 8_000 }),
        ),
      }),
    ).map(([index, options]) => (simulation: LeaseSimulation) =>
      simulation.read(index, options)
    ),
  },
  {
    weight: 5,
    arbitrary: fc.tuple(host, fc.integer({ min: 0, max: LONGEST_ORDER_MS }))
      .map((
        [index, ms],
      ) =>
      (simulation: LeaseSimulation) => simulation.order(index, ms)),
  },
  // One host pauses while the others continue.
  {
    weight: 3,
    arbitrary: fc.tuple(host, fc.integer({ min: 5, max: 30 })).map((
      [paused, seconds],
    ) =>
    (simulation: LeaseSimulation) => {
      for (let second = 0; second < seconds; second++) {
        simulation.advance(1_000);
        // The monotonic clock of this host stops while it is suspended.
        if (paused === SUSPENDED_HOST) {
          simulation.getHost(paused).suspendedMs += 1_000;
        }
        runHostsExcept(simulation, paused);
        throwIfUnsafe(simulation);
      }
    }),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(
      host.filter((index) => index !== SUSPENDED_HOST),
      fc.integer({ min: -60_000, max: 60_000 }),
    ).map((
      [index, ms],
    ) =>
    (simulation: LeaseSimulation) => {
      simulation.getHost(index).wallOffsetMs += ms;
    }),
  },
  {
    weight: 3,
    arbitrary: host.map((index) => (simulation: LeaseSimulation) =>
      simulation.restart(index)
    ),
  },
  {
    weight: 3,
    arbitrary: fc.constant((simulation: LeaseSimulation) =>
      simulation.removeOldRecords()
    ),
  },
);

function runHostsExcept(simulation: LeaseSimulation, paused: number): void {
  for (let index = 0; index < HOSTS; index++) {
    if (index !== paused) {
      simulation.read(index, { behind: 0, lateMs: 0 });
      simulation.tick(index, "ok");
      simulation.order(index, 2_500);
    }
  }
}

function throwIfUnsafe(simulation: LeaseSimulation): void {
  const holders = simulation.listHolders();
  assert.ok(holders.length <= 1, `hosts ${holders} hold the lease at once`);
  assert.ok(
    !simulation.hasStaleOrder,
    "an order took effect after one of a later holder",
  );
  const [holder] = holders;
  if (holder !== undefined && simulation.holders.at(-1) !== holder) {
    simulation.holders.push(holder);
  }
}

function settle(simulation: LeaseSimulation): void {
  for (let second = 0; second < 80; second += 2) {
    simulation.advance(2_000);
    runHostsExcept(simulation, -1);
    throwIfUnsafe(simulation);
  }
}

/** A reader that starts later may know less, but nothing different. */
function throwIfReadersDiffer(simulation: LeaseSimulation): void {
  const complete = createTable(simulation, 0).entries.get(LEASE);
  const step = Math.ceil(simulation.records.length / 8);
  for (let from = 0; from < simulation.records.length; from += step) {
    const entry = createTable(simulation, from).entries.get(LEASE);
    assert.equal(entry?.last, complete?.last);
    if (entry?.state !== "uncertain") {
      assert.deepEqual(entry, complete);
    }
  }
}

/** Only the claim at the start of the stream makes its holder the first one. */
function throwIfFirstHolderRepeats(
  simulation: LeaseSimulation,
  holder: number,
): void {
  const { agent } = simulation.getHost(holder);
  const [first] = simulation.records;
  const isFirst = first?.offset === simulation.getFencing(holder);
  const reported = agent.isFirstHolder(LEASE, simulation.getTime(holder));
  assert.ok(isFirst || !reported, "a later holder is reported as the first");
}

function createTable(simulation: LeaseSimulation, from: number): LeaseTable {
  return simulation.records.slice(from).reduce(
    applyLeaseRecord,
    createLeaseTable(from),
  );
}

describe("LeaseAgent", () => {
  it("never has two holders at once, and has one after faults", () => {
    let takeovers = 0;
    fc.assert(
      fc.property(
        fc.array(operation, { minLength: 20, maxLength: 120 }),
        (operations) => {
          const simulation = new LeaseSimulation(HOSTS);
          for (const run of operations) {
            run(simulation);
            throwIfUnsafe(simulation);
          }
          settle(simulation);
          const [holder] = simulation.listHolders();
          assert.notEqual(holder, undefined);
          assert.equal(simulation.uncheckedState.by, holder);
          assert.equal(
            simulation.checkedFencing,
            simulation.getFencing(holder ?? 0),
          );
          throwIfReadersDiffer(simulation);
          throwIfFirstHolderRepeats(simulation, holder ?? 0);
          takeovers += simulation.holders.length - 1;
        },
      ),
      { seed: 4, numRuns: 600 },
    );
    assert.ok(takeovers > 300, `only ${takeovers} takeovers of the lease`);
  });

  it("waits for the term of a holder of which only a renewal was read", () => {
    const agent = new LeaseAgent({ host: "b", epoch: 1 }, new SeededRandom(1));
    agent.handleSeek(LEASE, toTime(0));
    // A stale replica is read, which lacks the records of the holder.
    agent.handlePage({ records: [], first: 10, end: 10 }, toTime(0));
    agent.handlePage({ records: [], first: 10, end: 10 }, toTime(30_000));
    agent.handleTick(toTime(30_000));
    const claim = agent.handleTick(toTime(37_000));
    const renewal = encodeLeaseRecord({
      host: "h",
      epoch: 1,
      sequence: 8,
      claims: [{ lease: LEASE, kind: "renew", after: 9, fencing: 3 }],
    });
    const records = [renewal, claim?.value ?? ""].map((value, index) => ({
      offset: 10 + index,
      timeMs: 0,
      value,
    }));
    agent.handlePage({ records, first: 10, end: 12 }, toTime(38_000));
    for (let nowMs = 38_000; nowMs < 38_000 + LEASE_WAIT_MS; nowMs += 500) {
      agent.handlePage({ records: [], first: 10, end: 12 }, toTime(nowMs));
      assert.equal(agent.handleTick(toTime(nowMs)), undefined);
    }
  });
});

function toTime(ms: number): LeaseTime {
  return { monotonicMs: ms, wallMs: ms };
}
