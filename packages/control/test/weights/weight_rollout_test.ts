import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { DEFAULT_ROLLOUT_OPTIONS } from "../../src/weights/weight_rollout.ts";
import { SimulatedEngines } from "./simulated_engines.ts";

const LIMIT_MS = 300_000;
const LOAD_MS = 3_000;
const SWITCH_MS = 500;
const START_MS = 1_200;

function createEngines(
  count: number,
  changes: Partial<ConstructorParameters<typeof SimulatedEngines>[1]> = {},
): SimulatedEngines {
  return new SimulatedEngines(count, {
    ...DEFAULT_ROLLOUT_OPTIONS,
    fetchesPerSecond: 5,
    seed: 1,
    ...changes,
  });
}

function runUntilServing(engines: SimulatedEngines, version: number): number {
  engines.rollout.handleAnnounced(version);
  const elapsedMs = engines.runUntil(
    () => engines.isServing(version),
    LIMIT_MS,
  );
  assert.ok(
    engines.isServing(version),
    `engines don't all serve version ${version} after ${elapsedMs} ms`,
  );
  return elapsedMs;
}

describe("WeightRollout", () => {
  for (const [count, perSecond] of [[6, 5], [60, 20], [200, 50]] as const) {
    it(`switches ${count} engines to a version close to the lower bound of the time`, () => {
      const engines = createEngines(count, { fetchesPerSecond: perSecond });
      const elapsedMs = runUntilServing(engines, 2);
      const maxSwitching = Math.max(1, Math.floor(count / 4));
      const fetchesMs = (count - 1) / perSecond * 1_000 + SWITCH_MS;
      const wavesMs = Math.ceil(count / maxSwitching) * SWITCH_MS;
      const boundMs = LOAD_MS + Math.max(fetchesMs, wavesMs);
      assert.ok(elapsedMs <= boundMs * 1.1 + START_MS, `${elapsedMs} ms`);
      assert.equal(engines.fetchTimesMs.length, count);
      const maxFetches = engines.getMaxFetchesPerSecond();
      assert.ok(maxFetches <= perSecond, `${maxFetches} fetches in one second`);
      assert.ok(engines.maxSwitching <= maxSwitching);
    });
  }

  it("replaces an unfinished rollout by that of a newer version", () => {
    const engines = createEngines(30);
    engines.rollout.handleAnnounced(2);
    engines.runUntil(() => false, 4_000);
    runUntilServing(engines, 3);
    assert.ok(engines.fetchTimesMs.length < 60);
    engines.rollout.handleAnnounced(2);
    engines.runUntil(() => false, 60_000);
    assert.ok(engines.isServing(3));
  });

  it("retries failed orders and updates engines that were down", () => {
    const engines = createEngines(12, { failureRate: 0.3, seed: 5 });
    const [engine] = engines.engines;
    assert.ok(engine !== undefined);
    engine.isUp = false;
    runUntilServing(engines, 2);
    const commands = engines.commandsToDownEngines;
    engines.runUntil(() => false, 300_000);
    assert.ok(
      engines.commandsToDownEngines - commands <= 11,
      `${engines.commandsToDownEngines}`,
    );
    engine.isUp = true;
    engine.incarnation = 2;
    engines.runUntil(() => engines.isServing(2), 60_000);
    assert.ok(engines.isServing(2));
    assert.ok(engines.fetchTimesMs.length <= 36);
  });

  for (const checksFencing of [true, false]) {
    it(`corrects the effect of a late order of a previous leader, with fencing ${checksFencing}`, () => {
      const engines = createEngines(6, { checksFencing });
      runUntilServing(engines, 3);
      const [engine] = engines.engines;
      assert.ok(engine !== undefined);
      engine.version = 2;
      engines.runUntil(() => false, 31_000);
      assert.ok(engines.runUntil(() => engines.isServing(3), 10_000) < 10_000);
    });
  }

  it("waits after a takeover until orders of the previous leader have taken effect", () => {
    const engines = createEngines(12, { checksFencing: false });
    engines.rollout.handleAnnounced(2);
    engines.runUntil(() => engines.nowMs >= 22_000, LIMIT_MS);
    const before = engines.fetchTimesMs.length;
    engines.takeOver(3);
    engines.runUntil(() => false, 19_000);
    assert.equal(engines.fetchTimesMs.length, before);
    engines.runUntil(() => engines.isServing(3), LIMIT_MS);
    assert.ok(engines.isServing(3));
  });

  it("converges to the target version despite failures, restarts and takeovers", () => {
    const event = fc.record({
      kind: fc.constantFrom("restart", "down", "takeover", "announce"),
      engine: fc.nat(8),
      afterMs: fc.integer({ min: 0, max: 8_000 }),
    });
    fc.assert(
      fc.property(fc.nat(99), fc.array(event, { maxLength: 8 }), (
        seed,
        events,
      ) => {
        const engines = createEngines(9, { seed, failureRate: 0.2 });
        let targetVersion = 2;
        engines.rollout.handleAnnounced(targetVersion);
        for (const { kind, engine: index, afterMs } of events) {
          engines.runUntil(() => false, afterMs);
          const engine = engines.engines[index];
          assert.ok(engine !== undefined);
          if (kind === "takeover") {
            engines.takeOver(targetVersion);
          } else if (kind === "announce") {
            engines.rollout.handleAnnounced(++targetVersion);
          } else {
            engine.isUp = kind === "restart";
            engine.incarnation++;
            engine.version = 1;
          }
        }
        engines.engines.forEach((engine) => engine.isUp = true);
        engines.runUntil(() => engines.isServing(targetVersion), LIMIT_MS);
        assert.ok(engines.isServing(targetVersion));
        assert.ok(engines.maxSwitching <= 4);
      }),
      { seed: 11, numRuns: 40 },
    );
  });
});
