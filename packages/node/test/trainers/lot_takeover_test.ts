import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TrainingBench } from "../fixtures/training_bench.ts";
import { createTrainingLot } from "../fixtures/training_fixtures.ts";

const NAME = { customer: "agencia", id: "step-1" };
const TAKEOVER_MS = 3000;

async function createHosts() {
  const bench = new TrainingBench();
  const owner = (await bench.start("owner")).training;
  const others = [
    (await bench.start("host-1")).training,
    (await bench.start("host-2")).training,
  ];
  await bench.run(owner.registry.addLot(createTrainingLot()));
  const countOwners = () =>
    others.filter(({ registry }) => registry.getOwned(NAME) !== undefined)
      .length;
  return { bench, owner, others, countOwners };
}

describe("LotTakeover", () => {
  it("takes over the lot of a suspected owner that does not respond", async () => {
    const { bench, owner, others, countOwners } = await createHosts();
    const before = await bench.pull(owner, 0, 2);
    bench.hub.cutOff.add("owner");
    bench.hub.setState("owner", "suspect");
    await bench.run(bench.clock.sleep(TAKEOVER_MS));
    assert.equal(countOwners(), 1);
    const rest = await bench.pullAll(others, before.next);
    assert.equal(before.next + rest.length, 6);
    bench.hub.cutOff.clear();
    bench.hub.setState("owner", "alive");
    const again = await bench.pullAll([owner], before.next);
    assert.deepEqual(again, rest);
  });

  it("does not take over the lot of a suspected owner that responds, nor of an unreachable one that counts as alive", async () => {
    const { bench, countOwners } = await createHosts();
    bench.hub.setState("owner", "suspect");
    await bench.run(bench.clock.sleep(TAKEOVER_MS));
    bench.hub.cutOff.add("owner");
    bench.hub.setState("owner", "alive");
    await bench.run(bench.clock.sleep(TAKEOVER_MS));
    assert.equal(countOwners(), 0);
  });
});
