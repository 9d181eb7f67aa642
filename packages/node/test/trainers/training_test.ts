import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TrainingBench } from "../fixtures/training_bench.ts";
import { createTrainingLot } from "../fixtures/training_fixtures.ts";

const NAME = { customer: "agencia", id: "step-1" };

interface Received {
  readonly position: number;
  readonly sampleId: string;
  readonly groupId: string;
  readonly index: number;
  readonly text: string;
  readonly spans: readonly { readonly version: number }[];
  readonly score?: number;
}

function checkComplete(samples: readonly unknown[], from = 0): Received[] {
  const received = samples as Received[];
  assert.deepEqual(
    received.map(({ position }) => position),
    received.map((_, at) => from + at),
  );
  const slots = received.map(({ groupId, index }) => `${groupId}${index}`);
  assert.equal(new Set(slots).size, slots.length, "a slot was delivered twice");
  assert.equal(from + received.length, 6);
  return received;
}

async function createTwoHosts() {
  const bench = new TrainingBench();
  const first = await bench.start("host-1");
  const second = await bench.start("host-2");
  return { bench, first, second };
}

describe("Training", () => {
  it("delivers a lot once when it is pulled at two hosts in turn", async () => {
    const { bench, first, second } = await createTwoHosts();
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    const hosts = [second.training, first.training];
    const samples = checkComplete(await bench.pullAll(hosts));
    for (const { text, score } of samples) {
      assert.match(text, /^(river|hill)-0 .*-3 $/);
      assert.equal(typeof score, "number");
    }
    assert.equal(bench.scorer.getCounts().size, 6);
    const again = await bench.pull(second.training, 0);
    assert.deepEqual(again.samples, samples);
  });

  it("accepts new lots of a trainer that never pulls past the last sample", async () => {
    const { bench, first } = await createTwoHosts();
    const { registry, lotHandler } = first.training;
    for (const id of ["step-1", "step-2", "step-3", "step-4"]) {
      await bench.run(registry.addLot(createTrainingLot({ id })));
      let reply = { next: 0, whole: false };
      while (!reply.whole) {
        const pull = { customer: "agencia", id, cursor: reply.next };
        reply = await bench.run(
          lotHandler.pull({ ...pull, limit: 9, waitMs: 2000 }),
        );
      }
    }
    assert.equal(bench.generator.started.length, 24);
  });

  it("treats the same lot as one and rejects a different lot with its id", async () => {
    const { bench, first, second } = await createTwoHosts();
    const lot = createTrainingLot();
    await bench.run(first.training.registry.addLot(lot));
    await bench.run(second.training.registry.addLot(lot));
    checkComplete(await bench.pullAll([first.training]));
    assert.equal(bench.generator.started.length, 6);
    const other = createTrainingLot({ samplesPerGroup: 4 });
    for (const host of [first, second]) {
      await assert.rejects(
        bench.run(host.training.registry.addLot(other)),
        { name: "LotConflictError" },
      );
    }
  });

  it("resumes a lot from the replica of another host when its owner dies", async () => {
    const { bench, first, second } = await createTwoHosts();
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    const before = await bench.pull(first.training, 0, 2);
    const shown = await bench.pull(first.training, before.next, 2);
    bench.kill("host-1");
    const after = checkComplete([
      ...before.samples,
      ...await bench.pullAll([second.training], before.next),
    ]);
    const slots = (list: readonly unknown[]) =>
      (list as Received[]).map(({ groupId, index }) => `${groupId}${index}`);
    const again = after.slice(before.next, shown.next);
    assert.deepEqual(slots(again), slots(shown.samples));
  });

  for (const puller of [0, 1, 2]) {
    it(`finds a replica of the lot for host ${puller} after its owner died`, async () => {
      const bench = new TrainingBench();
      const owner = await bench.start("owner");
      const others = [];
      for (const host of ["host-1", "host-2", "host-3"]) {
        others.push((await bench.start(host)).training);
      }
      await bench.run(owner.training.registry.addLot(createTrainingLot()));
      bench.kill("owner");
      checkComplete(await bench.pullAll(others.slice(puller, puller + 1)));
    });
  }

  it("delivers a lot again to a trainer that lost it when new weights were announced", async () => {
    const { bench, first } = await createTwoHosts();
    await bench.run(first.weights.announce("names-es", 1));
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    checkComplete(await bench.pullAll([first.training]));
    await bench.run(first.weights.announce("names-es", 2));
    await bench.run(first.weights.announce("names-es", 3));
    bench.generator.version = 3;
    const samples = checkComplete(await bench.pullAll([first.training]));
    assert.ok(samples.every(({ spans }) => spans[0]?.version === 3));
  });

  it("hands a lot over with its finished samples during a graceful shutdown", async () => {
    const { bench, first, second } = await createTwoHosts();
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    const shown = await bench.pull(first.training, 0, 1);
    await bench.run(bench.clock.sleep(1000));
    await bench.run(first.lifecycle.runDrain(5000));
    bench.kill("host-1");
    const samples = checkComplete(await bench.pullAll([second.training]));
    assert.deepEqual(samples[0], shown.samples[0]);
    assert.equal(bench.generator.started.length, 6);
  });

  it("delivers no sample from chunks without a version", async () => {
    const { bench, first } = await createTwoHosts();
    bench.generator.version = undefined;
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    const none = await bench.pull(first.training, 0);
    assert.deepEqual(none.samples, []);
    bench.generator.version = 7;
    const samples = checkComplete(await bench.pullAll([first.training]));
    assert.ok(samples.every(({ spans }) => spans[0]?.version === 7));
  });

  it("generates finished samples again after new weights made them stale", async () => {
    const { bench, first, second } = await createTwoHosts();
    await bench.run(second.weights.announce("names-es", 1));
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    await bench.run(bench.clock.sleep(1000));
    await bench.run(second.weights.announce("names-es", 2));
    await bench.run(second.weights.announce("names-es", 3));
    bench.generator.version = 3;
    const samples = checkComplete(await bench.pullAll([first.training]));
    assert.ok(samples.every(({ spans }) => spans[0]?.version === 3));
    assert.equal(bench.generator.started.length, 12);
  });

  it("resumes after the tokens of an interrupted generation", async () => {
    const { bench, first } = await createTwoHosts();
    bench.generator.breaks = 2;
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    checkComplete(await bench.pullAll([first.training]));
    const resumed = bench.generator.started
      .filter(({ request }) => request.fromToken === 4);
    assert.equal(bench.generator.started.length, 8);
    assert.equal(resumed.length, 2);
  });

  it("cancels a lot from a host that does not own it", async () => {
    const { bench, first, second } = await createTwoHosts();
    bench.generator.hangs = true;
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    assert.equal(bench.generator.running, 6);
    await bench.run(second.training.lotHandler.cancel(NAME));
    await bench.run(bench.clock.sleep(1000));
    assert.equal(bench.generator.running, 0);
    await assert.rejects(bench.pull(second.training, 0), {
      name: "NotFoundError",
    });
  });

  it("cancels the generations of a trainer that makes no calls", async () => {
    const { bench, first } = await createTwoHosts();
    bench.generator.hangs = true;
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    await bench.run(bench.clock.sleep(30_000));
    assert.equal(bench.generator.running, 6);
    await bench.run(bench.clock.sleep(40_000));
    assert.equal(bench.generator.running, 0);
    bench.generator.hangs = false;
    first.training.producer.recordActivity("agencia");
    checkComplete(await bench.pullAll([first.training]));
  });

  it("refuses a lot beyond the limit of the contract", async () => {
    const { bench, first } = await createTwoHosts();
    for (const id of ["step-1", "step-2"]) {
      const lot = createTrainingLot({ id });
      await bench.run(first.training.registry.addLot(lot));
    }
    const third = createTrainingLot({ id: "step-3" });
    await assert.rejects(
      bench.run(first.training.registry.addLot(third)),
      { name: "RefusedError" },
    );
  });

  it("delivers nothing while the log is unavailable, and all samples afterwards", async () => {
    const { bench, first } = await createTwoHosts();
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    bench.log.setOutage("refused");
    const none = await bench.pull(first.training, 0);
    assert.deepEqual(none.samples, []);
    bench.log.setOutage(undefined);
    checkComplete(await bench.pullAll([first.training]));
    assert.equal(bench.generator.started.length, 6);
  });

  it("rejects a cursor beyond the settled positions", async () => {
    const { bench, first } = await createTwoHosts();
    await bench.run(first.training.registry.addLot(createTrainingLot()));
    await assert.rejects(bench.pull(first.training, 99), {
      name: "InputError",
    });
  });
});
