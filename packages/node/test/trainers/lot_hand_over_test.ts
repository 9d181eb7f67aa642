import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TrainingBench } from "../fixtures/training_bench.ts";
import { createTrainingLot } from "../fixtures/training_fixtures.ts";

const GROUPS = 20;
const SAMPLES = GROUPS * 2;
const PROMPT_CHARS = 60_000;

/** Prompts of 1.2 MB and samples of 9.6 MB; the message limit is 1 MB. */
function createLargeLot() {
  const groups = Array.from({ length: GROUPS }, (_, at) => ({
    id: `group-${at}`,
    prompt: `${at}`.padEnd(PROMPT_CHARS, "x"),
  }));
  return createTrainingLot({ groups, samplesPerGroup: 2 });
}

async function createHosts() {
  const bench = new TrainingBench();
  const first = await bench.start("host-1");
  const second = await bench.start("host-2");
  await bench.run(first.training.registry.addLot(createLargeLot()));
  return { bench, first, second };
}

describe("LotHandOver", () => {
  it("hands over a lot that is larger than the message limit", async () => {
    const { bench, first, second } = await createHosts();
    await bench.run(bench.clock.sleep(2000));
    assert.equal(bench.generator.started.length, SAMPLES);
    await bench.run(first.lifecycle.runDrain(5000));
    bench.kill("host-1");
    const samples = await bench.pullAll([second.training]);
    assert.equal(samples.length, SAMPLES);
    // The handed-over samples are bounded; the others are generated again.
    const regenerated = bench.generator.started.length - SAMPLES;
    assert.ok(regenerated < SAMPLES / 4, `${regenerated}`);
  });

  it("resumes a large lot from a replica when its owner dies", async () => {
    const { bench, second } = await createHosts();
    bench.kill("host-1");
    const samples = await bench.pullAll([second.training]);
    assert.equal(samples.length, SAMPLES);
  });

  it("hands a lot over to a replica host that has restarted", async () => {
    const { bench, first } = await createHosts();
    const second = await bench.start("host-2", 2);
    await bench.run(first.lifecycle.runDrain(5000));
    bench.kill("host-1");
    const samples = await bench.pullAll([second.training]);
    assert.equal(samples.length, SAMPLES);
  });
});
