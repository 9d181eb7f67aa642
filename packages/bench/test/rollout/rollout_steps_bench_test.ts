import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isWithinBound } from "../../src/bench/bench.ts";
import { RolloutStepsBench } from "../../src/rollout/rollout_steps_bench.ts";

describe("RolloutStepsBench.run", () => {
  it("meets the bounds of all checks on all mixes in the short form", async () => {
    const bench = new RolloutStepsBench();
    const { checks } = await bench.run({ seed: 1, quick: true });
    assert.equal(checks.length, 16);
    assert.deepEqual(checks.filter((check) => !isWithinBound(check)), []);
  });
});
