import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TrainingBench } from "../fixtures/training_bench.ts";
import { createTrainingLot } from "../fixtures/training_fixtures.ts";

describe("LotReplicas", () => {
  it("replicates a lot again when its replica hosts die one by one", async () => {
    const bench = new TrainingBench();
    const owner = await bench.start("owner");
    await bench.start("host-1");
    await bench.start("host-2");
    await bench.run(owner.training.registry.addLot(createTrainingLot()));
    bench.kill("host-1");
    const third = await bench.start("host-3");
    bench.kill("host-2");
    await bench.run(bench.clock.sleep(3000));
    bench.kill("owner");
    const samples = await bench.pullAll([third.training]);
    assert.equal(samples.length, 6);
  });
});
