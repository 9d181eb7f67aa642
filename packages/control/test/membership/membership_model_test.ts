import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { SimulatedHost } from "./simulated_host.ts";
import { SimulatedNetwork } from "./simulated_network.ts";

const HOSTS = 10;
const SECOND_MS = 1_000;

interface Fault {
  readonly kind:
    | "crash"
    | "restart"
    | "pause"
    | "reset"
    | "block"
    | "cut"
    | "heal"
    | "publish";
  readonly host: number;
  readonly other: number;
  readonly seconds: number;
}

const faults = fc.array(
  fc.record<Fault>({
    kind: fc.constantFrom(
      "crash",
      "restart",
      "pause",
      "reset",
      "block",
      "cut",
      "heal",
      "publish",
    ),
    host: fc.nat(HOSTS - 1),
    other: fc.nat(HOSTS - 1),
    seconds: fc.integer({ min: 0, max: 20 }),
  }),
  { maxLength: 14 },
);

function applyFault(network: SimulatedNetwork, fault: Fault): void {
  const host = network.hosts[fault.host] as SimulatedHost;
  const other = network.hosts[fault.other] as SimulatedHost;
  const isBlocked = network.isBlocked;
  const isBelowCut = (end: SimulatedHost) =>
    network.hosts.indexOf(end) < fault.other;
  const actions: Readonly<Record<Fault["kind"], () => void>> = {
    crash: () => network.crash(host),
    restart: () => host.isUp ? undefined : network.restart(host),
    pause: () => {
      host.pausedUntilMs = network.nowMs + fault.seconds * SECOND_MS;
    },
    reset: () => network.reset(host),
    block: () => {
      network.isBlocked = (from, to) =>
        isBlocked(from, to) || from === host && to === other;
    },
    cut: () =>
      network.isBlocked = (from, to) => isBelowCut(from) !== isBelowCut(to),
    heal: () => network.isBlocked = () => false,
    publish: () =>
      host.isUp
        ? host.membership.publish(
          { topic: "t", payload: network.nowMs },
          network.nowMs,
        )
        : undefined,
  };
  actions[fault.kind]();
  network.run(fault.seconds * SECOND_MS);
}

/** Publishes from every running host an item that all others have to receive. */
function publishAll(network: SimulatedNetwork): void {
  for (const { membership } of network.hosts.filter(({ isUp }) => isUp)) {
    membership.publish({ topic: "end", payload: "end" }, network.nowMs);
  }
}

describe("Membership under random faults", () => {
  it("converges on the running hosts and delivers gossip to all of them", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1_000 }),
        faults,
        (seed, faultSequence) => {
          const network = new SimulatedNetwork({ hosts: HOSTS, seed });
          network.run(5 * SECOND_MS);
          faultSequence.forEach((fault) => applyFault(network, fault));
          network.isBlocked = () => false;
          network.hosts.forEach((host) => host.pausedUntilMs = 0);
          network.runUntil(() => network.isConverged(), 180 * SECOND_MS);
          assert.ok(network.isConverged());
          publishAll(network);
          network.run(10 * SECOND_MS);
          assert.ok(network.isConverged());
          const up = network.hosts.filter(({ isUp }) => isUp);
          for (const host of up) {
            assert.ok(!host.superseded);
            const topics = [...host.received.keys()]
              .filter((key) => key.startsWith("end "));
            assert.equal(topics.length, up.length - 1);
          }
        },
      ),
      { seed: 20, numRuns: 60 },
    );
  });
});
