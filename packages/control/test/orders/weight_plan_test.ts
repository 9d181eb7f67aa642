import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  decideLoads,
  type LoadOrder,
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
    loading: busy.includes(index)
      ? { engine: `i-${index}`, model: "m0", version: version + 1 }
      : undefined,
  }));
}

/** Simulates engines that finish all orders of a round before the next versions are announced. */
class LoadSimulation {
  #engines: PlannedEngine[];
  readonly #targetVersions = new Map(MODELS.map((model) => [model, 1]));
  /** Number of orders to engines that could serve the step, although an engine with a stale version was free. */
  interruptions = 0;

  constructor(count: number) {
    this.#engines = [...createEngines(new Array(count).fill(1))];
  }

  getTargetVersion(model: string): number {
    return this.#targetVersions.get(model) ?? 0;
  }

  getVersion(id: string, model: string): number {
    return this.#engines.find((candidate) => candidate.id === id)?.models.get(
      model,
    ) ?? 0;
  }

  removeEngine(id: string): void {
    this.#engines = this.#engines.filter((engine) => engine.id !== id);
  }

  /** Returns the engines that can serve the current step of each model. */
  listServing(models: readonly string[]): ReadonlyMap<string, string[]> {
    return new Map(models.map((model) => [
      model,
      this.#engines
        .filter(({ models }) =>
          (models.get(model) ?? 0) >= this.getTargetVersion(model) - 1
        )
        .map(({ id }) => id),
    ]));
  }

  announceVersions(models: readonly string[]): readonly LoadOrder[] {
    models.forEach((model) =>
      this.#targetVersions.set(model, this.getTargetVersion(model) + 1)
    );
    const all: LoadOrder[] = [];
    while (true) {
      const input = {
        targetVersions: this.#targetVersions,
        models: MODELS,
        engines: this.#engines,
      };
      const orders = decideLoads(input);
      if (orders.length === 0) {
        return all;
      }
      this.#checkOrders(orders);
      all.push(...orders);
      this.#engines = this.#engines.map((engine) =>
        orders.filter((order) => order.engine === engine.id).reduce(
          (loaded, { model, version }) => ({
            ...loaded,
            models: new Map([...loaded.models, [model, version]]),
          }),
          engine,
        )
      );
    }
  }

  #checkOrders(orders: readonly LoadOrder[]): void {
    for (const { engine, model, version } of orders) {
      const isStaleEngineFree = this.#engines.some((candidate) =>
        (candidate.models.get(model) ?? 0) < version - 1 &&
        !orders.some((order) => order.engine === candidate.id)
      );
      if (isStaleEngineFree && this.getVersion(engine, model) >= version - 1) {
        this.interruptions++;
      }
    }
  }
}

describe("decideLoads", () => {
  function listLoadingEngines(
    versions: readonly number[],
    targetVersion: number,
    busy: readonly number[] = [],
  ): readonly string[] {
    return decideLoads({
      targetVersions: new Map([["m0", targetVersion]]),
      models: ["m0"],
      engines: createEngines(versions, busy),
    }).map(({ engine }) => engine).toSorted();
  }

  it("loads on half of a model's engines, so that the others continue to serve", () => {
    assert.equal(listLoadingEngines([1, 1], 2).length, 1);
    assert.equal(listLoadingEngines([1, 1], 2, [0]).length, 0);
  });

  it("sends no order while enough engines hold the newest version", () => {
    assert.deepEqual(listLoadingEngines([2, 1], 2), []);
  });

  it("picks engines first whose version the step no longer allows", () => {
    assert.deepEqual(listLoadingEngines([2, 1], 3), ["i-1"]);
  });

  it("loads on as many engines as the share and the platform bound allow if none can serve the step", () => {
    assert.equal(listLoadingEngines([1, 1], 4).length, 1);
    assert.equal(listLoadingEngines([1, 1, 1, 1, 1, 1, 1], 4).length, 2);
  });

  it("loads on no more engines at the same time than the platform bound allows", () => {
    const orders = decideLoads({
      targetVersions: new Map(MODELS.map((model) => [model, 5])),
      models: MODELS,
      engines: createEngines(new Array(6).fill(1), [0]),
    });
    assert.equal(orders.length, 1);
  });

  it("sends no order if all engines hold the newest version", () => {
    assert.deepEqual(listLoadingEngines([3, 3], 3), []);
  });

  it("loads each version on an equal share of the engines, disjoint between models", () => {
    const orders = new LoadSimulation(6).announceVersions(MODELS);
    assert.deepEqual(
      MODELS.map((model) =>
        orders.filter((order) => order.model === model).length
      ),
      [2, 2, 2],
    );
    assert.equal(new Set(orders.map(({ engine }) => engine)).size, 6);
  });

  for (const count of [2, 3, 6, 24, 27]) {
    it(`interrupts no engine that can serve the current step, with ${count} engines`, () => {
      const simulation = new LoadSimulation(count);
      const share = Math.max(
        1,
        Math.min(Math.floor(count / 3), Math.ceil(count / 2)),
      );
      for (let round = 0; round < 8; round++) {
        const before = simulation.listServing(MODELS);
        simulation.announceVersions(MODELS);
        const after = simulation.listServing(MODELS);
        MODELS.forEach((model) => {
          const serving = after.get(model) ?? [];
          assert.ok(serving.length >= Math.min(count, 2 * share), model);
          // Engines that hold the previous version still serve the step.
          const previous = before.get(model)?.filter((id) =>
            simulation.getVersion(id, model) ===
              simulation.getTargetVersion(model) - 1
          );
          assert.ok(previous?.every((id) => serving.includes(id)), model);
        });
      }
      assert.equal(simulation.interruptions, 0);
    });
  }

  it("keeps each model served if one of six engines is removed and models announce versions at different times", () => {
    const simulation = new LoadSimulation(6);
    for (let round = 0; round < 9; round++) {
      simulation.announceVersions([MODELS[round % 3] ?? "m0"]);
      if (round === 4) {
        simulation.removeEngine("i-2");
      }
      MODELS.forEach((model) => {
        const serving = simulation.listServing([model]).get(model) ?? [];
        assert.ok(serving.length >= 1, `${model} in round ${round}`);
      });
    }
  });
});
