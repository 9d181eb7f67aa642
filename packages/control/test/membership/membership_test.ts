import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SimulatedHost } from "./simulated_host.ts";
import { SimulatedNetwork } from "./simulated_network.ts";

const SECOND_MS = 1_000;
const HOUR_MS = 3_600_000;

function createConvergedNetwork(hosts: number, tickMs = 100): SimulatedNetwork {
  const network = new SimulatedNetwork({ hosts, seed: 7, tickMs });
  const tookMs = network.runUntil(() => network.isConverged(), 120 * SECOND_MS);
  assert.ok(network.isConverged(), `not converged after ${tookMs} ms`);
  network.run(10 * SECOND_MS);
  return network;
}

function getHost(network: SimulatedNetwork, index: number): SimulatedHost {
  const host = network.hosts[index];
  assert.ok(host !== undefined);
  return host;
}

function countFailed(network: SimulatedNetwork): number {
  return network.hosts.filter(({ isUp }) => isUp)
    .flatMap(({ membership }) => membership.listRecords())
    .filter(({ status }) => status === "failed").length;
}

function assertConvergesWithin(
  network: SimulatedNetwork,
  limitMs: number,
): void {
  const tookMs = network.runUntil(() => network.isConverged(), limitMs);
  assert.ok(network.isConverged(), `not converged after ${tookMs} ms`);
}

describe("Membership joins", () => {
  for (const hosts of [2, 3, 12, 100]) {
    it(`connects ${hosts} hosts over at most 4 links each`, () => {
      const network = createConvergedNetwork(hosts);
      network.run(40 * SECOND_MS);
      for (const { membership } of network.hosts) {
        assert.ok(membership.countLinks() <= 4);
      }
    });
  }

  it("sends a bounded number of messages and dials no host when idle", () => {
    const network = createConvergedNetwork(100);
    network.run(40 * SECOND_MS);
    const dials = network.dials;
    network.hosts.forEach((host) => host.messages = 0);
    network.run(100 * SECOND_MS);
    assert.equal(network.dials, dials);
    const messages = network.hosts.reduce(
      (sum, host) => sum + host.messages,
      0,
    );
    // Each host dials 2 links and sends a heartbeat on each every 2 s: 100 in 100 s.
    assert.ok(messages / 100 <= 101, `${messages / 100} messages per host`);
  });
});

describe("Membership failures", () => {
  const table: readonly {
    readonly name: string;
    readonly fault: (network: SimulatedNetwork) => void;
    readonly limitMs: number;
  }[] = [
    {
      name: "a crash",
      fault: (network) => network.crash(getHost(network, 5)),
      limitMs: 12 * SECOND_MS,
    },
    {
      name: "a simultaneous crash of a third of the hosts",
      fault: (network) =>
        network.hosts.filter((_, index) => index % 3 === 0)
          .forEach((host) => network.crash(host)),
      limitMs: 30 * SECOND_MS,
    },
    {
      name: "a crash and an immediate restart",
      fault: (network) => {
        network.run(2 * SECOND_MS);
        network.crash(getHost(network, 5));
        network.restart(getHost(network, 5));
      },
      limitMs: 12 * SECOND_MS,
    },
    {
      name: "a graceful shutdown",
      fault: (network) => {
        const host = getHost(network, 5);
        host.membership.announceLeaving("failed", network.nowMs);
        network.run(SECOND_MS);
        host.isUp = false;
      },
      limitMs: 2 * SECOND_MS,
    },
  ];
  for (const { name, fault, limitMs } of table) {
    it(`converges after ${name}`, () => {
      const network = createConvergedNetwork(32);
      fault(network);
      assertConvergesWithin(network, limitMs);
    });
  }

  it("retains hosts whose links fail in one direction or are reset", () => {
    const network = createConvergedNetwork(32);
    network.isBlocked = (from, to) =>
      from.name === "host-3" && ["host-4", "host-7"].includes(to.name) ||
      to.name === "host-9" && from.name === "host-10";
    for (let round = 0; round < 60; round++) {
      network.reset(getHost(network, network.random.getInteger(32)));
      network.run(2 * SECOND_MS);
    }
    assertConvergesWithin(network, 20 * SECOND_MS);
  });

  it("retains a host that one neighbour cannot reach, and backs off its dials", () => {
    const network = createConvergedNetwork(12);
    network.run(40 * SECOND_MS);
    const [connection] = network.listConnections(getHost(network, 0));
    assert.ok(connection !== undefined);
    const unreachablePair = [connection.dialler, connection.acceptor];
    network.isBlocked = (from, to) =>
      unreachablePair.includes(from) && unreachablePair.includes(to);
    network.run(60 * SECOND_MS);
    const dials = network.dials;
    assert.ok(dials > 0);
    network.run(600 * SECOND_MS);
    assert.ok(network.dials - dials <= 24, `${network.dials - dials} dials`);
    const refutations = unreachablePair.map(({ membership }) =>
      membership.getLocalMember().refutation
    );
    assert.ok(Math.max(...refutations) > 0);
    assert.ok(Math.max(...refutations) <= 5, String(refutations));
    assertConvergesWithin(network, 20 * SECOND_MS);
  });

  it("declares no host failed after a short pause, and rejoins after a long one", () => {
    const network = createConvergedNetwork(32);
    for (const index of [1, 2, 3]) {
      getHost(network, index).pausedUntilMs = network.nowMs + 3 * SECOND_MS;
    }
    network.run(20 * SECOND_MS);
    assert.equal(countFailed(network), 0);
    getHost(network, 1).pausedUntilMs = network.nowMs + 40 * SECOND_MS;
    network.run(30 * SECOND_MS);
    assert.ok(countFailed(network) >= 31);
    assertConvergesWithin(network, 60 * SECOND_MS);
  });

  it("does not revive a failed host by a stale record", () => {
    const network = createConvergedNetwork(12);
    const staleRecord = getHost(network, 5).membership.getLocalMember();
    network.crash(getHost(network, 5));
    assertConvergesWithin(network, 20 * SECOND_MS);
    const host = getHost(network, 2);
    const [connection] = network.listConnections(host);
    assert.ok(connection !== undefined);
    host.membership.handleMessage({
      link: connection.id,
      message: { digest: 0, whole: false, records: [staleRecord], items: [] },
    }, network.nowMs);
    assert.ok(network.isConverged());
  });
});

describe("Membership leaving", () => {
  it("reaches all hosts within 3 s and lasts for the incarnation", () => {
    const network = createConvergedNetwork(12);
    const host = getHost(network, 4);
    host.membership.announceLeaving("alive", network.nowMs);
    assertConvergesWithin(network, 3 * SECOND_MS);
    host.pausedUntilMs = network.nowMs + 20 * SECOND_MS;
    network.run(40 * SECOND_MS);
    assertConvergesWithin(network, 60 * SECOND_MS);
    assert.ok(host.membership.getLocalMember().leaving);
    network.crash(host);
    network.restart(host);
    assertConvergesWithin(network, 60 * SECOND_MS);
    assert.ok(!host.membership.getLocalMember().leaving);
  });
});

describe("Membership gossip", () => {
  for (const [hosts, limitMs] of [[12, 3_000], [100, 3_000]] as const) {
    it(`reaches ${hosts} hosts within ${limitMs} ms`, () => {
      const network = createConvergedNetwork(hosts);
      const payload = { endpoint: "engine-1" };
      getHost(network, 3).membership.publish(
        { topic: "leaving", payload },
        network.nowMs,
      );
      const countReached = () =>
        network.hosts.filter(({ received }) => received.has("leaving host-3"))
          .length;
      network.runUntil(() => countReached() === hosts - 1, limitMs);
      assert.equal(countReached(), hosts - 1);
    });
  }

  it("delivers earlier items to hosts that join later", () => {
    const network = createConvergedNetwork(12);
    const { membership } = getHost(network, 3);
    membership.publish({ topic: "offset", payload: 7 }, network.nowMs);
    network.run(200 * SECOND_MS);
    const late = network.addHost("late");
    network.run(20 * SECOND_MS);
    assert.equal(late.received.get("offset host-3"), 7);
  });
});

describe("Membership partition", () => {
  it("keeps both sides converged for an hour and heals with bounded traffic", () => {
    const network = createConvergedNetwork(24, 500);
    const isEven = (host: SimulatedHost) =>
      Number(host.name.slice(5)) % 2 === 0;
    const sides = [true, false].map((side) =>
      network.hosts.filter((host) => isEven(host) === side)
    );
    network.isBlocked = (from, to) => isEven(from) !== isEven(to);
    network.run(120 * SECOND_MS);
    sides.forEach((side) => assert.ok(network.isConverged(side)));
    const dials = network.dials;
    network.run(HOUR_MS - 120 * SECOND_MS);
    sides.forEach((side) => assert.ok(network.isConverged(side)));
    const probes = network.dials - dials;
    assert.ok(probes < 24 * HOUR_MS / 25_000, `${probes} dials`);
    network.isBlocked = () => false;
    network.hosts.forEach((host) => host.messages = 0);
    assertConvergesWithin(network, 120 * SECOND_MS);
    network.run(60 * SECOND_MS);
    const maxMessages = Math.max(
      ...network.hosts.map(({ messages }) => messages),
    );
    assert.ok(maxMessages < 600, `${maxMessages} messages from one host`);
    assert.ok(network.isConverged());
  });
});
