import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TrainingBench } from "../fixtures/training_bench.ts";
import { createTrainingLot } from "../fixtures/training_fixtures.ts";

describe("OpenLots", () => {
  it("counts the open lots of a customer over all hosts", async () => {
    const bench = new TrainingBench();
    const first = await bench.start("host-1");
    const second = await bench.start("host-2");
    const hosts = [first.training, second.training];
    for (const [at, { registry }] of hosts.entries()) {
      const lot = createTrainingLot({ id: `step-${at + 1}` });
      await bench.run(registry.addLot(lot));
    }
    const third = createTrainingLot({ id: "step-3" });
    for (const { registry } of hosts) {
      await assert.rejects(bench.run(registry.addLot(third)), {
        name: "RefusedError",
      });
    }
    assert.equal((await bench.pullAll(hosts)).length, 6);
    await bench.run(bench.clock.sleep(1000));
    await bench.run(second.training.registry.addLot(third));
    bench.kill("host-1");
    bench.kill("host-2");
    const last = await bench.start("host-3");
    const fourth = createTrainingLot({ id: "step-4" });
    await bench.run(last.training.registry.addLot(fourth));
  });

  it("publishes counts again after a message was lost", async () => {
    const bench = new TrainingBench();
    const first = await bench.start("host-1");
    const second = await bench.start("host-2");
    const count = () => second.training.registry.openLots.countOpen("agencia");
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    await bench.run(bench.clock.sleep(2000));
    assert.equal(count(), 1);
    bench.hub.cutOff.add("host-1");
    assert.equal((await bench.pullAll([first.training])).length, 6);
    await bench.run(bench.clock.sleep(2000));
    assert.equal(count(), 1, "the count was not received");
    bench.hub.cutOff.clear();
    await bench.run(bench.clock.sleep(7000));
    assert.equal(count(), 0);
  });

  it("does not count a lot that was delivered completely before its takeover", async () => {
    const bench = new TrainingBench();
    const first = await bench.start("host-1");
    const second = await bench.start("host-2");
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    assert.equal((await bench.pullAll([first.training])).length, 6);
    bench.kill("host-1");
    await bench.run(second.training.registry.addLot(createTrainingLot()));
    const owned = second.training.registry.listOwned();
    assert.equal(owned.length, 1, "number of lots taken over");
    assert.equal(second.training.registry.openLots.countOpen("agencia"), 0);
  });
});
