import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toContractSections } from "@briarhill/contract/contract/contract_sections";
import {
  CONFIGURATION_STREAM,
  type ConfigurationChange,
} from "@briarhill/control/configuration/configuration_record";
import type { Fault } from "@briarhill/fakes/faults/fault";
import { hashConfiguration } from "@briarhill/control/snapshots/snapshot";
import {
  type ClusterHost,
  ConfigurationCluster,
} from "../../src/control/configuration_cluster.ts";
import { createContractStructure } from "../../src/capacity/contract_fixture.ts";
import { SlowLog } from "../../src/control/slow_log.ts";
import { StaleLog } from "../../src/control/stale_log.ts";

const HOSTS = 12;
const IN_FORCE_BOUND_MS = 5_000;

function createContract(customer: string, basedOn = -1): ConfigurationChange {
  const structure = createContractStructure(customer.charCodeAt(0), 10);
  const sections = JSON.parse(JSON.stringify(toContractSections(structure)));
  return { kind: "contract", customer, basedOn, sections };
}

function createDrain(name: string): ConfigurationChange {
  const target = { kind: "host", name } as const;
  return { kind: "drain", basedOn: -1, target, draining: true };
}

function startHosts(
  cluster: ConfigurationCluster,
  count: number,
): readonly ClusterHost[] {
  return Array.from(
    { length: count },
    (_, index) => cluster.start(`h${index}`),
  );
}

/** Returns the time until all hosts have applied an offset. */
async function measurePropagation(
  cluster: ConfigurationCluster,
  hosts: readonly ClusterHost[],
  offset: number,
): Promise<number> {
  const startMs = cluster.clock.getMonotonicMs();
  while (hosts.some(({ contracts }) => contracts.getRevision() < offset)) {
    await cluster.advance(50);
    if (cluster.clock.getMonotonicMs() - startMs > 60_000) {
      return Infinity;
    }
  }
  return cluster.clock.getMonotonicMs() - startMs;
}

describe("LogContractSource", () => {
  it("applies a change on 12 hosts within 5 s", async () => {
    const cluster = new ConfigurationCluster({ seed: 1 });
    const { log, clock } = cluster;
    const slow = new SlowLog(log, { clock, delayMs: 30_000 });
    const hosts = [
      ...startHosts(cluster, HOSTS - 2),
      cluster.start("slow", { log: slow }),
    ];
    await cluster.advance(3_000);
    // The reads of this host do not return within the test.
    const silent = cluster.start("silent", {
      log: new SlowLog(log, { clock, delayMs: 3_600_000 }),
    });
    await cluster.advance(3_000);
    for (const customer of ["a", "b", "c"]) {
      const offset = await cluster.publish(createContract(customer));
      const all = [...hosts, silent];
      const tookMs = await measurePropagation(cluster, all, offset);
      assert.ok(tookMs < IN_FORCE_BOUND_MS, `took ${tookMs} ms`);
      assert.equal(
        new Set(
          all.map(({ contracts }) => hashConfiguration(contracts.getState())),
        ).size,
        1,
      );
    }
    assert.ok([...hosts, silent].every(({ contracts }) => contracts.isReady()));
  });

  it("starts from peers while the log is down, and waits for the log without peers", async () => {
    const cluster = new ConfigurationCluster({ seed: 2 });
    const [first] = startHosts(cluster, 3);
    await cluster.publish(createContract("a"));
    await cluster.advance(2_000);
    cluster.log.setOutage("refused");
    const alone = cluster.start("alone", { isIsolated: true });
    const late = cluster.start("late");
    await cluster.advance(5_000);
    assert.equal(late.contracts.isReady(), true);
    assert.equal(late.contracts.getContracts().length, 1);
    assert.equal(alone.contracts.isReady(), false);
    assert.equal(first?.contracts.getContracts().length, 1);
    cluster.log.setOutage(undefined);
    await cluster.advance(8_000);
    assert.equal(alone.contracts.isReady(), true);
    assert.equal(alone.contracts.getContracts().length, 1);
  });

  it("starts from a snapshot when the log no longer retains its records", async () => {
    const cluster = new ConfigurationCluster({
      seed: 3,
      log: { retentionRecords: 40 },
    });
    const [first] = startHosts(cluster, 3);
    await cluster.publish(createContract("a"));
    for (let index = 0; index < 100; index++) {
      await cluster.publish(createDrain(`drained-${index}`));
      await cluster.advance(1_000, 250);
    }
    await cluster.advance(10_000);
    const alone = cluster.start("alone", { isIsolated: true });
    await cluster.advance(10_000);
    const expected = first?.contracts.getState();
    assert.equal(alone.contracts.getRevision(), 100);
    assert.equal(
      hashConfiguration(alone.contracts.getState()),
      expected === undefined ? "" : hashConfiguration(expected),
    );
  });

  it("never reports an older revision than its peers when its first log read is stale", async () => {
    const cluster = new ConfigurationCluster({ seed: 4 });
    const peers = startHosts(cluster, 3);
    await cluster.publish(createContract("a"));
    const stream = CONFIGURATION_STREAM;
    const page = await cluster.log.read(stream, { from: 0 });
    const offset = await cluster.publish(createContract("b"));
    await cluster.advance(1_000);
    assert.ok(peers.every((one) => one.contracts.getRevision() === offset));
    const { log, clock } = cluster;
    const slow = new SlowLog(log, { clock, delayMs: 1_000 });
    const behind = new StaleLog(slow, { stream, page });
    const host = cluster.start("behind", { log: behind });
    for (let step = 0; step < 100; step++) {
      await cluster.advance(50);
      if (host.contracts.isReady()) {
        assert.ok(host.contracts.getRevision() >= offset);
      }
    }
    assert.equal(host.contracts.isReady(), true);
  });
});

describe("calls of the log", () => {
  /** Injects a fault while hosts follow the log, publish to it and hold a lease. */
  async function doTest(fault: Fault): Promise<void> {
    const cluster = new ConfigurationCluster({
      seed: 6,
      log: { retentionRecords: 30 },
    });
    const hosts = startHosts(cluster, 3);
    await cluster.publish(createContract("a"));
    await cluster.advance(10_000);
    cluster.log.faults.add(fault);
    await cluster.advance(10_000);
    cluster.log.faults.clear();
    // All hosts miss records that expire while none of them reads.
    await cluster.advance(5_000);
    for (let index = 0; index < 40; index++) {
      await cluster.publish(createDrain(`drained-${index}`));
    }
    cluster.log.faults.add(fault);
    const late = cluster.start("late", { isIsolated: true });
    await cluster.advance(30_000);
    cluster.log.faults.clear();
    await cluster.advance(40_000);
    const all = [...hosts, late];
    const message = JSON.stringify(fault);
    assert.deepEqual(
      all.map(({ contracts }) => contracts.getRevision()),
      [40, 40, 40, 40],
      message,
    );
    const holders = all.filter(({ leases }) =>
      leases.getFencing("snapshots") !== undefined
    );
    assert.equal(holders.length, 1, message);
  }

  it("are retried or resolved after each fault", async () => {
    const kinds = ["refused", "reset", "silent", "malformed"] as const;
    for (const operation of ["read", "append"] as const) {
      for (const kind of kinds) {
        await doTest({ operation, kind, times: 12 });
        await doTest({ operation, kind, when: "after", times: 12 });
      }
      await doTest({ operation, kind: "slow", delayMs: 8_000, times: 12 });
      await doTest({ operation, kind: "rejected", times: 12 });
    }
  });
});

describe("LogLeaseManager", () => {
  it("retains a lease in an outage shorter than the term, and moves it after a longer one", async () => {
    const cluster = new ConfigurationCluster({ seed: 5 });
    const hosts = startHosts(cluster, 4);
    const listHolders = () =>
      hosts.filter(({ leases }) =>
        leases.getFencing("snapshots") !== undefined
      );
    await cluster.advance(30_000);
    const [holder, ...others] = listHolders();
    assert.equal(others.length, 0);
    const fencing = holder?.leases.getFencing("snapshots") ?? Infinity;
    cluster.log.setOutage("refused");
    await cluster.advance(8_000);
    cluster.log.setOutage(undefined);
    await cluster.advance(8_000);
    assert.deepEqual(listHolders(), [holder]);
    assert.equal(holder?.leases.getFencing("snapshots"), fencing);
    cluster.log.setOutage("refused");
    await cluster.advance(20_000);
    assert.deepEqual(listHolders(), []);
    cluster.log.setOutage(undefined);
    await cluster.advance(40_000);
    const [next, ...more] = listHolders();
    assert.equal(more.length, 0);
    assert.ok((next?.leases.getFencing("snapshots") ?? -1) > fencing);
  });
});
