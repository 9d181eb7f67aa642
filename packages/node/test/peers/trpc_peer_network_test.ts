import {
  InputError,
  PortError,
  RefusedError,
  SettingsError,
} from "@briarhill/common/errors/errors";
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { FaultyForwarder } from "./faulty_forwarder.ts";
import type { TrpcPeerNetwork } from "../../src/peers/trpc_peer_network.ts";
import { createNetwork, stopCreatedNetworks, waitUntil } from "./fixtures.ts";

const OLD_KEY = "the key of last quarter";
const NEW_KEY = "the key of this quarter";

async function startNetworks(hosts: number): Promise<TrpcPeerNetwork[]> {
  const first = createNetwork();
  const seeds = [`127.0.0.1:${await first.start()}`];
  const networks = [first];
  for (let index = 1; index < hosts; index++) {
    const network = createNetwork({ host: `host-${index}`, seeds });
    await network.start();
    networks.push(network);
  }
  return networks;
}

function countAlive(network: TrpcPeerNetwork): number {
  return network.getMembers().filter(({ state }) => state === "alive").length;
}

function waitForAll(networks: readonly TrpcPeerNetwork[]): Promise<boolean> {
  return waitUntil(() =>
    networks.every((network) => countAlive(network) === networks.length)
  );
}

describe("TrpcPeerNetwork", () => {
  afterEach(stopCreatedNetworks);

  it("fails to start with a SettingsError when its port is in use", async () => {
    const port = await createNetwork().start();
    const listen = { address: "127.0.0.1", port };
    const second = createNetwork({ host: "host-1", listen });
    await assert.rejects(second.start(), SettingsError);
  });

  it("joins, gossips, makes calls and leaves", async () => {
    const networks = await startNetworks(5);
    const received: unknown[] = [];
    for (const network of networks) {
      network.register("topic", (payload, from) => {
        received.push([payload, from]);
        return Promise.resolve();
      });
      network.register("add", (input) => Promise.resolve(Number(input) + 1));
    }
    assert.ok(await waitForAll(networks));
    networks[2]?.publish("topic", { endpoint: "engine-1" });
    assert.ok(await waitUntil(() => received.length === 4));
    assert.deepEqual(received[0], [{ endpoint: "engine-1" }, "host-2"]);
    const call = { procedure: "add", input: 1, timeoutMs: 20_000 };
    assert.equal(await networks[1]?.call("host-4", call), 2);
    assert.equal(await networks[1]?.call("host-1", call), 2);
    networks[3]?.announceLeaving();
    assert.ok(
      await waitUntil(() =>
        networks[0]?.getMembers().find(({ host }) => host === "host-3")
          ?.state === "leaving"
      ),
    );
    await networks[3]?.stop();
    const others = networks.filter((_, index) => index !== 3);
    assert.ok(
      await waitUntil(() => others.every((other) => countAlive(other) === 4)),
    );
  });

  it("reports for each failed call whether it may have run", async () => {
    const [caller, peer] = await startNetworks(2);
    assert.ok(caller !== undefined && peer !== undefined);
    peer.register("refuse", () => Promise.reject(new RefusedError("full")));
    peer.register("break", () => Promise.reject(new TypeError("broken")));
    peer.register("hang", () => new Promise(() => {}));
    assert.ok(await waitForAll([caller, peer]));
    const table = [
      ["refuse", "rejected", "not-run"],
      ["break", "rejected", "unknown"],
      ["missing", "rejected", "not-run"],
      ["hang", "silent", "unknown"],
    ] as const;
    for (const [procedure, fault, outcome] of table) {
      const call = { procedure, input: null, timeoutMs: 500 };
      await assert.rejects(caller.call("host-1", call), (error) => {
        assert.ok(error instanceof PortError);
        assert.deepEqual([error.fault, error.outcome], [fault, outcome]);
        return true;
      });
    }
    await peer.stop();
    assert.ok(await waitUntil(() => caller.countLinks() === 0));
    const call = { procedure: "refuse", input: null, timeoutMs: 20_000 };
    await assert.rejects(caller.call("host-1", call), (error) => {
      assert.ok(error instanceof PortError);
      assert.equal(error.outcome, "not-run");
      return true;
    });
  });

  it("keeps its links open when a gossip handler fails", async () => {
    const [first, second] = await startNetworks(2);
    assert.ok(first !== undefined && second !== undefined);
    const received: unknown[] = [];
    for (const network of [first, second]) {
      network.register("bad", () => {
        throw new InputError("another form");
      });
      network.register("good", (payload) => {
        received.push(payload);
        return Promise.resolve();
      });
    }
    assert.ok(await waitForAll([first, second]));
    const { sockets } = second.getTraffic();
    second.publish("bad", 1);
    second.publish("good", 2);
    first.publish("bad", 3);
    first.publish("good", 4);
    assert.ok(await waitUntil(() => received.length === 2));
    assert.equal(second.getTraffic().sockets, sockets);
    assert.equal(second.countLinks(), 1);
  });

  const rotations = [
    [[OLD_KEY], [OLD_KEY, NEW_KEY], true],
    [[OLD_KEY, NEW_KEY], [NEW_KEY, OLD_KEY], true],
    [[NEW_KEY, OLD_KEY], [NEW_KEY], true],
    [[OLD_KEY], [NEW_KEY], false],
    [[OLD_KEY], [NEW_KEY, OLD_KEY], false],
    [[NEW_KEY, OLD_KEY], [OLD_KEY], false],
  ] as const;
  for (const [keys, otherKeys, joins] of rotations) {
    it(`${joins ? "joins" : "rejects"} hosts with keys [${keys}] and [${otherKeys}]`, async () => {
      const first = createNetwork({ keys });
      const seeds = [`127.0.0.1:${await first.start()}`];
      const other = createNetwork({ host: "host-1", keys: otherKeys, seeds });
      await other.start();
      const ended = await waitUntil(() =>
        countAlive(other) + countAlive(first) === 4 ||
        other.getTraffic().sockets >= 4
      );
      assert.ok(ended);
      assert.equal(countAlive(other), joins ? 2 : 1);
      assert.equal(countAlive(first), joins ? 2 : 1);
    });
  }

  for (
    const fault of ["to-target", "from-target", "both", "reset"] as const
  ) {
    it(`replaces a gossip link after the fault "${fault}"`, async () => {
      const forwarder = new FaultyForwarder();
      const advertised = await forwarder.start();
      const target = createNetwork({
        host: "target",
        advertisedAddress: advertised,
      });
      forwarder.setTarget(await target.start());
      const dialler = createNetwork({ host: "dialler", seeds: [advertised] });
      await dialler.start();
      assert.ok(await waitForAll([target, dialler]));
      const states = new Set<string>();
      dialler.subscribe(() =>
        dialler.getMembers().forEach(({ state }) => states.add(state))
      );
      const connections = forwarder.countConnections();
      if (fault === "reset") {
        forwarder.reset();
      } else {
        forwarder.dropTraffic(fault);
      }
      assert.ok(
        await waitUntil(() =>
          forwarder.countConnections() > connections &&
          dialler.countLinks() === 1 && target.countLinks() === 1
        ),
      );
      const received: unknown[] = [];
      target.register("topic", (payload) => {
        received.push(payload);
        return Promise.resolve();
      });
      dialler.publish("topic", 1);
      assert.ok(await waitUntil(() => received.length === 1));
      assert.ok(!states.has("failed"));
      forwarder.stop();
    });
  }

  it("replaces an unresponsive call link", async () => {
    const forwarder = new FaultyForwarder();
    const advertised = await forwarder.start();
    const target = createNetwork({
      host: "target",
      advertisedAddress: advertised,
    });
    let calls = 0;
    target.register("count", () => Promise.resolve(++calls));
    forwarder.setTarget(await target.start());
    const dialler = createNetwork({ host: "dialler", seeds: [advertised] });
    await dialler.start();
    assert.ok(await waitForAll([target, dialler]));
    const call = { procedure: "count", input: null, timeoutMs: 30_000 };
    assert.equal(await dialler.call("target", call), 1);
    forwarder.dropTraffic("from-target");
    await assert.rejects(dialler.call("target", call), (error) => {
      assert.ok(error instanceof PortError);
      assert.equal(error.outcome, "unknown");
      return true;
    });
    assert.equal(await dialler.call("target", call), 3);
    forwarder.stop();
  });
});
