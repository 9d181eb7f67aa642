import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SimulatedHost } from "./simulated_host.ts";
import { SimulatedNetwork } from "./simulated_network.ts";

const HOSTS = 370;
const TICK_MS = 500;
const SECOND_MS = 1_000;
const CHECK_INTERVAL_MS = 5 * SECOND_MS;
const JOIN_BOUND_MS = 240 * SECOND_MS;
/** Longer than a side takes to declare all hosts of the other side failed. */
const PARTITION_MS = 120 * SECOND_MS;
/** A partition of an hour has to heal within a tenth of its duration. */
const HEAL_BOUND_MS = 360 * SECOND_MS;
/** 2 KB/s, at 94 B per heartbeat message with its headers. */
const MAX_MESSAGES_PER_SECOND = 21;

function isInFirstRegion({ membership }: SimulatedHost): boolean {
  return membership.getLocalMember().region === "region-0";
}

describe("NeighbourManager", () => {
  it(`heals a partition between regions of ${HOSTS} hosts with bounded traffic`, (test) => {
    const options = { hosts: HOSTS, seed: 11, tickMs: TICK_MS };
    const network = new SimulatedNetwork(options);
    while (network.nowMs < JOIN_BOUND_MS && !network.isConverged()) {
      network.run(CHECK_INTERVAL_MS);
    }
    assert.ok(network.isConverged());
    network.isBlocked = (from, to) =>
      isInFirstRegion(from) !== isInFirstRegion(to);
    network.run(PARTITION_MS);
    for (const side of [true, false]) {
      const hosts = network.hosts.filter((host) =>
        isInFirstRegion(host) === side
      );
      assert.ok(network.isConverged(hosts));
    }
    network.isBlocked = () => false;
    const startMs = network.nowMs;
    let maxMessages = 0;
    while (
      network.nowMs - startMs < HEAL_BOUND_MS && !network.isConverged()
    ) {
      for (
        let passedMs = 0;
        passedMs < CHECK_INTERVAL_MS;
        passedMs += SECOND_MS
      ) {
        network.hosts.forEach((host) => host.messages = 0);
        network.run(SECOND_MS);
        const sent = network.hosts.map(({ messages }) => messages);
        maxMessages = Math.max(maxMessages, ...sent);
      }
    }
    assert.ok(network.isConverged());
    const tookMs = network.nowMs - startMs;
    test.diagnostic(
      `${tookMs} ms; at most ${maxMessages} messages from one host in 1 s`,
    );
    assert.ok(
      maxMessages <= MAX_MESSAGES_PER_SECOND,
      `${maxMessages} messages from one host in 1 s`,
    );
  });
});
