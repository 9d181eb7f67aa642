import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TrainingBench } from "../fixtures/training_bench.ts";
import { createTrainingLot } from "../fixtures/training_fixtures.ts";

const HOSTS = ["host-1", "host-2", "host-3"];
const GROUPS = 6;
const SAMPLES = GROUPS * 4;
/** Slots of the only engine. */
const SLOTS = 8;

interface Received {
  readonly position: number;
  readonly groupId: string;
  readonly index: number;
  readonly text: string;
  readonly spans: readonly {
    readonly fromToken: number;
    readonly toToken: number;
    readonly version: number;
  }[];
  readonly score?: number;
}

function createLot() {
  const groups = Array.from(
    { length: GROUPS },
    (_, at) => ({ id: `group-${at}`, prompt: `prompt-${at}` }),
  );
  return createTrainingLot({ groups, samplesPerGroup: 4 });
}

async function createHosts() {
  const bench = new TrainingBench();
  const [first, second, third] = [
    await bench.start("host-1"),
    await bench.start("host-2"),
    await bench.start("host-3"),
  ];
  return { bench, first, second, third };
}

function holdGenerations(bench: TrainingBench, hosts: readonly string[]): void {
  for (const [host, generator] of bench.generators) {
    generator.isHeld = hosts.includes(host);
  }
}

/** Checks that each slot is delivered once, in order, complete, with spans and score. */
function checkComplete(samples: readonly unknown[]): void {
  const received = samples as Received[];
  assert.deepEqual(
    received.map(({ position }) => position),
    Array.from({ length: SAMPLES }, (_, at) => at),
  );
  const slots = received.map(({ groupId, index }) => `${groupId} ${index}`);
  assert.equal(new Set(slots).size, SAMPLES, "a slot was delivered twice");
  for (const { groupId, text, spans, score } of received) {
    const prompt = groupId.replace("group", "prompt");
    const expected = [0, 1, 2, 3].map((at) => `${prompt}-${at} `).join("");
    assert.equal(text, expected);
    assert.deepEqual(spans, [{ fromToken: 0, toToken: 8, version: 1 }]);
    assert.equal(typeof score, "number");
  }
}

describe("SampleDispatcher", () => {
  it("distributes the attempts of a lot over all members", async () => {
    const { bench, first, second, third } = await createHosts();
    await bench.run(first.training.registry.addLot(createLot()));
    checkComplete(
      await bench.pullAll([first.training, second.training, third.training]),
    );
    for (const { started, whole } of bench.generators.values()) {
      assert.ok(started.length >= SAMPLES / 6, `${started.length}`);
      assert.equal(whole, started.length, "streams were read to their end");
    }
    assert.equal(bench.generator.started.length, SAMPLES);
    assert.equal(bench.scorer.getCounts().size, SAMPLES);
  });

  it("repeats the attempts of a failed member at other members", async () => {
    const { bench, first, third } = await createHosts();
    holdGenerations(bench, ["host-2"]);
    await bench.run(first.training.registry.addLot(createLot()));
    await bench.run(bench.clock.sleep(1000));
    const lost = bench.generators.get("host-2")?.running ?? 0;
    assert.ok(lost > 0);
    bench.kill("host-2");
    checkComplete(await bench.pullAll([first.training, third.training]));
    assert.equal(bench.generator.started.length, SAMPLES + lost);
  });

  it("repeats the attempts of a restarted member", async () => {
    const { bench, first, third } = await createHosts();
    holdGenerations(bench, ["host-2"]);
    await bench.run(first.training.registry.addLot(createLot()));
    await bench.run(bench.clock.sleep(1000));
    bench.kill("host-2");
    await bench.start("host-2", 2);
    checkComplete(await bench.pullAll([first.training, third.training]));
  });

  it("completes a lot without an unreachable member and ignores its late results", async () => {
    const { bench, first, second, third } = await createHosts();
    holdGenerations(bench, ["host-2"]);
    await bench.run(first.training.registry.addLot(createLot()));
    bench.hub.cutOff.add("host-2");
    const samples = await bench.pullAll([first.training, third.training]);
    checkComplete(samples);
    bench.hub.cutOff.clear();
    holdGenerations(bench, []);
    await bench.run(bench.clock.sleep(40_000));
    assert.equal(bench.generator.running, 0);
    assert.deepEqual(await bench.pullAll([second.training]), samples);
  });

  for (const failure of ["dies", "becomes unreachable"]) {
    it(`cancels the attempts of an owner that ${failure} before its lot is complete`, async () => {
      const { bench, first, second, third } = await createHosts();
      holdGenerations(bench, HOSTS);
      await bench.run(first.training.registry.addLot(createLot()));
      await bench.run(bench.clock.sleep(1000));
      assert.equal(bench.generator.running, SLOTS);
      holdGenerations(bench, ["host-1"]);
      if (failure === "dies") {
        bench.kill("host-1");
        checkComplete(await bench.pullAll([second.training, third.training]));
      } else {
        bench.hub.cutOff.add("host-1");
      }
      await bench.run(bench.clock.sleep(20_000));
      const runningElsewhere = ["host-2", "host-3"]
        .map((host) => bench.generators.get(host)?.running);
      assert.deepEqual(runningElsewhere, [0, 0]);
    });
  }

  it("resumes after the tokens of a member that drains", async () => {
    const { bench, first, second, third } = await createHosts();
    holdGenerations(bench, ["host-2"]);
    await bench.run(first.training.registry.addLot(createLot()));
    await bench.run(bench.clock.sleep(1000));
    const interrupted = bench.generators.get("host-2")?.running ?? 0;
    await bench.run(second.lifecycle.runDrain(5000));
    bench.kill("host-2");
    checkComplete(await bench.pullAll([first.training, third.training]));
    const resumed = bench.generator.started
      .filter(({ request }) => request.fromToken === 4);
    assert.ok(interrupted > 0);
    assert.equal(resumed.length, interrupted);
    const seeds = bench.generators.get("host-2")?.started
      .map(({ request }) => request.sampling.seed);
    for (const { request } of resumed) {
      assert.ok(seeds?.includes(request.sampling.seed), "the seed differs");
    }
    assert.equal(bench.generator.started.length, SAMPLES + interrupted);
  });
});
