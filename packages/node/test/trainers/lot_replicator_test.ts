import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TrainingBench } from "../fixtures/training_bench.ts";
import { createTrainingLot } from "../fixtures/training_fixtures.ts";

const SAMPLES = 6;
const SETTLE_MS = 3000;

interface Case {
  readonly condition: string;
  /** Hosts that run when the lot is submitted. */
  readonly initial: readonly string[];
  /** Hosts that join after the submission, before any host dies. */
  readonly joining: readonly string[];
  /** Hosts that die one by one, with time for replication in between. */
  readonly killed: readonly string[];
  /** Whether hosts restart right after they died, with empty memory. */
  readonly isRestarted: boolean;
}

const CASES: readonly Case[] = [
  {
    condition: "its replica hosts die one by one, then its owner",
    initial: ["host-1", "host-2"],
    joining: ["host-3"],
    killed: ["host-1", "host-2", "owner"],
    isRestarted: false,
  },
  {
    condition: "each of its hosts restarts in turn",
    initial: ["host-1", "host-2"],
    joining: [],
    killed: ["host-1", "host-2", "owner"],
    isRestarted: true,
  },
  {
    condition: "no other host was known at its submission",
    initial: [],
    joining: ["host-1", "host-2"],
    killed: ["owner"],
    isRestarted: false,
  },
];

describe("LotReplicator", () => {
  for (const { condition, initial, joining, killed, isRestarted } of CASES) {
    it(`delivers all samples of a lot if ${condition}`, async () => {
      const bench = new TrainingBench();
      const owner = (await bench.start("owner")).training;
      const hosts = new Map([["owner", owner]]);
      const start = async (host: string, incarnation = 1) => {
        const { training } = await bench.start(host, incarnation);
        hosts.set(host, training);
      };
      for (const host of initial) {
        await start(host);
      }
      await bench.run(owner.registry.addLot(createTrainingLot()));
      for (const host of joining) {
        await start(host);
      }
      await bench.run(bench.clock.sleep(SETTLE_MS));
      for (const host of killed) {
        bench.kill(host);
        hosts.delete(host);
        if (isRestarted) {
          await start(host, 2);
        }
        await bench.run(bench.clock.sleep(SETTLE_MS));
      }
      const samples = await bench.pullAll([...hosts.values()]);
      assert.equal(samples.length, SAMPLES);
    });
  }
});
