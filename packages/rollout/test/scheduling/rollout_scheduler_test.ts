import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FifoLotOrder } from "../../src/scheduling/fifo_lot_order.ts";
import type {
  GenerationStructure,
  ScheduleCommand,
} from "../../src/scheduling/generation.ts";
import { LongestFirstOrder } from "../../src/scheduling/longest_first_order.ts";
import { RolloutScheduler } from "../../src/scheduling/rollout_scheduler.ts";
import type { SchedulerCapacity } from "../../src/scheduling/scheduler_policies.ts";
import { TailDuplicates } from "../../src/scheduling/tail_duplicates.ts";

const TERMS = {
  share: 0.5,
  runAheadLots: 1,
  maxVersionsBehind: 1,
  isPresent: true,
};

function createScheduler(): RolloutScheduler {
  return new RolloutScheduler({
    lotOrder: new FifoLotOrder(),
    sampleOrder: new LongestFirstOrder(),
    duplicates: new TailDuplicates(),
    resumes: true,
  });
}

function addLot(
  scheduler: RolloutScheduler,
  id: string,
  options: { readonly customer?: string; readonly samples?: number } = {},
): void {
  const { customer = "agencia", samples = 4 } = options;
  const prompts = Array.from(
    { length: samples },
    (_, index) => `prompt-${index}`,
  );
  const lot = { id, customer, dueMs: 1000, samples, samplesPerGroup: 1 };
  scheduler.addLot({ ...lot, prompts });
  const slots = prompts.map((_, slot) => ({ slot, attempt: 1 }));
  scheduler.addSlots(id, slots);
}

function decide(
  scheduler: RolloutScheduler,
  change: Partial<SchedulerCapacity> = {},
): readonly GenerationStructure[] {
  const capacity = {
    nowMs: 0,
    slots: 100,
    idleTokensPerMs: 0.1,
    servedVersionsBehind: 0,
  };
  return listStarted(scheduler.decide({ ...capacity, ...change }));
}

function listStarted(
  commands: readonly ScheduleCommand[],
): readonly GenerationStructure[] {
  return commands.flatMap((command) =>
    command.kind === "start" ? [command.generation] : []
  );
}

function count(
  generations: readonly GenerationStructure[],
  lot: string,
): number {
  return generations.filter((generation) => generation.lot === lot).length;
}

describe("RolloutScheduler.decide", () => {
  const shares: readonly [number, number, number, number, number][] = [
    [20, 20, 10, 5, 5],
    [20, 2, 10, 8, 2],
    [0, 20, 10, 0, 10],
    [20, 20, 2, 1, 1],
  ];
  for (const [first, second, slots, ofFirst, ofSecond] of shares) {
    it(`gives ${ofFirst} and ${ofSecond} of ${slots} slots to ${first} and ${second} samples`, () => {
      const scheduler = createScheduler();
      scheduler.setTerms("agencia", TERMS);
      scheduler.setTerms("maison", TERMS);
      addLot(scheduler, "a", { samples: first });
      addLot(scheduler, "m", { samples: second, customer: "maison" });
      const started = decide(scheduler, { slots });
      assert.equal(count(started, "a"), ofFirst);
      assert.equal(count(started, "m"), ofSecond);
    });
  }

  it("gives no slot to an absent trainer", () => {
    const scheduler = createScheduler();
    scheduler.setTerms("agencia", { ...TERMS, isPresent: false });
    scheduler.setTerms("maison", TERMS);
    addLot(scheduler, "a");
    addLot(scheduler, "m", { customer: "maison" });
    const started = decide(scheduler);
    assert.equal(count(started, "a"), 0);
    assert.equal(count(started, "m"), 4);
  });

  it("runs lots ahead within the staleness bound, and always runs the first lot", () => {
    const scheduler = createScheduler();
    scheduler.setTerms("agencia", TERMS);
    ["1", "2", "3"].forEach((id) => addLot(scheduler, id));
    const behind = decide(scheduler, { servedVersionsBehind: 1 });
    assert.deepEqual(behind.map(({ lot }) => lot), ["1", "1", "1", "1"]);
    assert.equal(count(decide(scheduler), "2"), 4);
    assert.deepEqual(decide(scheduler), []);
    scheduler.removeLot("1", true);
    assert.deepEqual(decide(scheduler), []);
    scheduler.handleAnnounced("agencia");
    assert.equal(count(decide(scheduler), "3"), 4);
  });

  it("starts the longest expected samples first", () => {
    const scheduler = createScheduler();
    scheduler.setTerms("agencia", TERMS);
    addLot(scheduler, "1");
    decide(scheduler).forEach((generation) =>
      scheduler.handleFinished(generation, 10 * (1 + generation.slot % 3))
    );
    scheduler.removeLot("1", true);
    addLot(scheduler, "2");
    const slots = decide(scheduler).map(({ slot }) => slot);
    assert.deepEqual(slots, [2, 1, 0, 3]);
  });

  it("starts urgent samples, which hold up others, first", () => {
    const scheduler = createScheduler();
    scheduler.setTerms("agencia", TERMS);
    addLot(scheduler, "1");
    scheduler.addSlots("1", [{ slot: 3, attempt: 2, isUrgent: true }]);
    const [first] = decide(scheduler, { slots: 1 });
    assert.equal(first?.slot, 3);
    assert.equal(first?.attempt, 2);
  });

  it("resumes an interrupted generation after the retained tokens", () => {
    const scheduler = createScheduler();
    scheduler.setTerms("agencia", TERMS);
    addLot(scheduler, "1", { samples: 1 });
    const [first] = decide(scheduler);
    assert.ok(first);
    scheduler.handleBroken(first, 7);
    const [second] = decide(scheduler);
    assert.equal(second?.fromToken, 7);
    assert.equal(second?.attempt, 2);
    scheduler.handleBroken(first, 9);
    assert.deepEqual(decide(scheduler), []);
  });

  it("cancels the other generation when one of two generations of a sample finishes", () => {
    const scheduler = createScheduler();
    scheduler.setTerms("agencia", TERMS);
    addLot(scheduler, "1", { samples: 20 });
    const started = decide(scheduler);
    started.slice(1).forEach((one) => scheduler.handleFinished(one, 10));
    const straggler = started[0];
    assert.ok(straggler);
    scheduler.handleProgress(straggler, 5);
    const [duplicate] = decide(scheduler, { nowMs: 6000 });
    assert.equal(duplicate?.duplicateOf, straggler.id);
    assert.deepEqual(decide(scheduler, { nowMs: 12_000 }), []);
    assert.deepEqual(scheduler.handleFinished(straggler, 10), [
      { kind: "cancel", id: duplicate?.id },
    ]);
    assert.ok(
      duplicate && scheduler.handleFinished(duplicate, 10).length === 0,
    );
    assert.equal(scheduler.countRunning(), 0);
  });

  it("duplicates a straggler of the first lot before starting samples of a lot that runs ahead", () => {
    const scheduler = createScheduler();
    scheduler.setTerms("agencia", TERMS);
    addLot(scheduler, "1", { samples: 40 });
    addLot(scheduler, "2", { samples: 80 });
    const slots = 40;
    const first = decide(scheduler, { slots });
    first.slice(1).forEach((one) => scheduler.handleFinished(one, 10));
    const ahead = decide(scheduler, { slots });
    assert.equal(count(ahead, "2"), 39);
    ahead.forEach((one) => scheduler.handleProgress(one, 400));
    const straggler = first[0] as GenerationStructure;
    scheduler.handleProgress(straggler, 50);
    assert.deepEqual(decide(scheduler, { slots, nowMs: 4000 }), []);
    scheduler.handleFinished(ahead[0] as GenerationStructure, 400);
    const [duplicate] = decide(scheduler, { slots, nowMs: 6000 });
    assert.equal(duplicate?.duplicateOf, straggler.id);
    assert.equal(duplicate?.fromToken, 0);
  });

  it("does not duplicate a sample that is as fast as the others", () => {
    const scheduler = createScheduler();
    scheduler.setTerms("agencia", TERMS);
    addLot(scheduler, "1", { samples: 40 });
    addLot(scheduler, "2", { samples: 80 });
    const slots = 40;
    const first = decide(scheduler, { slots });
    first.slice(1).forEach((one) => scheduler.handleFinished(one, 10));
    const ahead = decide(scheduler, { slots });
    [first[0] as GenerationStructure, ...ahead].forEach((one) =>
      scheduler.handleProgress(one, 100)
    );
    scheduler.handleFinished(ahead[0] as GenerationStructure, 100);
    const started = decide(scheduler, { slots, nowMs: 6000 });
    assert.deepEqual(started.map(({ lot }) => lot), ["2"]);
  });

  it("starts no duplicate for an absent trainer, or at a token rate of 0", () => {
    const rows = [
      { isPresent: false, idleTokensPerMs: 0.1 },
      { isPresent: true, idleTokensPerMs: 0 },
    ];
    for (const { isPresent, idleTokensPerMs } of rows) {
      const scheduler = createScheduler();
      scheduler.setTerms("agencia", TERMS);
      addLot(scheduler, "1", { samples: 20 });
      const [straggler, ...others] = decide(scheduler);
      others.forEach((one) => scheduler.handleFinished(one, 10));
      scheduler.handleProgress(straggler as GenerationStructure, 0);
      scheduler.setTerms("agencia", { ...TERMS, isPresent });
      assert.deepEqual(
        decide(scheduler, { nowMs: 9000, idleTokensPerMs: idleTokensPerMs }),
        [],
      );
    }
  });
});
