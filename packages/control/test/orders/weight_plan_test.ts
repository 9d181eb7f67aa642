import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { assignEngines } from "../../src/orders/engine_assignment.ts";
import {
  decideLoads,
  type PlannedEngine,
} from "../../src/orders/weight_plan.ts";

const MODELS = ["m0", "m1", "m2"];

function createEngines(
  versions: readonly number[],
  busy: readonly number[] = [],
): readonly PlannedEngine[] {
  return versions.map((version, index) => ({
    id: `i-${index}`,
    models: new Map(MODELS.map((model) => [model, version])),
    isBusy: busy.includes(index),
  }));
}

describe("assignEngines", () => {
  function testSizes(count: number, expected: readonly number[]): void {
    it(`deals ${count} engines as ${expected.join(", ")}`, () => {
      const ids = createEngines(new Array(count).fill(1)).map(({ id }) => id);
      const homes = assignEngines(MODELS, ids);
      const sizes = [...homes.values()].map((home) => home.size);
      assert.deepEqual(sizes.toSorted(), expected.toSorted());
    });
  }

  testSizes(6, [2, 2, 2]);
  testSizes(5, [1, 2, 2]);
  testSizes(24, [8, 8, 8]);
  testSizes(2, [2, 2, 2]);

  it("gives all engines to models that are more than they", () => {
    const homes = assignEngines(MODELS, ["a"]);
    assert.deepEqual([...homes.get("m2") ?? []], ["a"]);
  });

  it("moves few engines when one leaves", () => {
    const ids = createEngines(new Array(24).fill(1)).map(({ id }) => id);
    const before = assignEngines(MODELS, ids);
    const after = assignEngines(MODELS, ids.slice(1));
    const kept = MODELS.flatMap((model) =>
      [...before.get(model) ?? []].filter((id) => after.get(model)?.has(id))
    );
    assert.ok(kept.length >= 18, `${kept.length}`);
  });
});

describe("decideLoads", () => {
  function countLoads(
    versions: readonly number[],
    wanted: number,
    busy: readonly number[] = [],
  ): readonly string[] {
    return decideLoads({
      wanted: new Map([["m0", wanted]]),
      models: ["m0"],
      engines: createEngines(versions, busy),
    }).map(({ engine }) => engine).toSorted();
  }

  it("loads half of a model's engines, so that the others go on", () => {
    assert.equal(countLoads([1, 1], 2).length, 1);
    assert.equal(countLoads([1, 1], 2, [0]).length, 0);
  });

  it("leaves engines alone that the next step still allows", () => {
    assert.deepEqual(countLoads([2, 1], 2), []);
  });

  it("loads those first that the step no longer allows", () => {
    assert.deepEqual(countLoads([2, 1], 3), ["i-1"]);
  });

  it("loads all at once where none could serve the step", () => {
    assert.equal(countLoads([1, 1], 4).length, 1);
    assert.equal(countLoads([1, 1, 1, 1, 1, 1, 1], 4).length, 2);
  });

  it("never loads more engines at once than load at full speed", () => {
    const orders = decideLoads({
      wanted: new Map(MODELS.map((model) => [model, 5])),
      models: MODELS,
      engines: createEngines(new Array(6).fill(1), [0]),
    });
    assert.equal(orders.length, 1);
  });

  it("does nothing when all engines hold the wanted version", () => {
    assert.deepEqual(countLoads([3, 3], 3), []);
  });
});
