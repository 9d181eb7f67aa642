import { SeededRandom } from "@briarhill/common/random/seeded_random";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  DemandTree,
  SUMS_LIFETIME_MS,
  type TreeMessage,
} from "../../src/shares/demand_tree.ts";
import {
  decodeSums,
  encodeSums,
  type ShareSums,
} from "../../src/shares/share_sums.ts";

const INTERVAL_MS = 2000;
const MESSAGES_PER_HOST = 5;

function createSums(live: number): ShareSums {
  const demands = [{ customer: "a", live, rollouts: 1 }];
  return { hosts: 1, demands, dueSlots: 2, unmetSlots: 3 };
}

/** Simulates hosts whose messages are delivered immediately or lost. */
class TreeSimulation {
  readonly hosts = new Map<string, DemandTree>();
  nowMs = 0;
  isLost: (from: string, message: TreeMessage) => boolean = () => false;
  maxMessages = 0;

  constructor(count: number) {
    const names = Array.from({ length: count }, (_, index) => `host-${index}`);
    for (const [index, name] of names.entries()) {
      const tree = new DemandTree(name);
      tree.setHosts(names);
      tree.setLocal(createSums(index));
      this.hosts.set(name, tree);
    }
  }

  runInterval(): void {
    this.nowMs += INTERVAL_MS;
    for (const [from, tree] of this.hosts) {
      const messages = tree.listMessages(this.nowMs);
      this.maxMessages = Math.max(this.maxMessages, messages.length);
      for (const message of messages) {
        if (!this.isLost(from, message)) {
          const sums = decodeSums(encodeSums(message.sums));
          const received = { from, kind: message.kind, sums };
          this.hosts.get(message.to)?.record(received, this.nowMs);
        }
      }
    }
  }

  remove(name: string): void {
    this.hosts.delete(name);
    const names = [...this.hosts.keys()];
    this.hosts.forEach((tree) => tree.setHosts(names));
  }

  listTotals(): readonly ShareSums[] {
    return [...this.hosts.values()].map((tree) => tree.getTotal(this.nowMs));
  }
}

describe("DemandTree", () => {
  function doTotalTest(count: number, intervals: number): void {
    const simulation = new TreeSimulation(count);
    for (let interval = 0; interval < intervals; interval++) {
      simulation.runInterval();
    }
    const live = count * (count - 1) / 2;
    for (const total of simulation.listTotals()) {
      assert.deepEqual(total, {
        hosts: count,
        demands: [{ customer: "a", live, rollouts: count }],
        dueSlots: 2 * count,
        unmetSlots: 3 * count,
      });
    }
    assert.ok(
      simulation.maxMessages <= MESSAGES_PER_HOST,
      `${simulation.maxMessages}`,
    );
  }

  it("delivers the total to each host within two intervals per tree level", () => {
    doTotalTest(1, 1);
    doTotalTest(2, 2);
    doTotalTest(12, 6);
    doTotalTest(100, 8);
    doTotalTest(370, 10);
  });

  it("excludes a removed host after the lifetime of its sums", () => {
    const simulation = new TreeSimulation(40);
    for (let interval = 0; interval < 8; interval++) {
      simulation.runInterval();
    }
    simulation.remove("host-7");
    for (
      let ms = 0;
      ms <= SUMS_LIFETIME_MS + 8 * INTERVAL_MS;
      ms += INTERVAL_MS
    ) {
      simulation.runInterval();
    }
    assert.ok(simulation.listTotals().every(({ hosts }) => hosts === 39));
  });

  it("never counts a host twice while messages are being lost", () => {
    const random = new SeededRandom(5);
    const simulation = new TreeSimulation(64);
    simulation.isLost = () => random.getFloat() < 0.3;
    for (let interval = 0; interval < 200; interval++) {
      simulation.runInterval();
      for (const { hosts } of simulation.listTotals()) {
        assert.ok(hosts >= 1 && hosts <= 64, `${hosts} hosts`);
      }
    }
  });
});
