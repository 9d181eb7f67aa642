import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakPlan } from "../../src/soak/soak_plan.ts";

describe("createSoakPlan", () => {
  it("gives the same faults for the same seed, in order, within the time", () => {
    const options = { seed: 3, durationMs: 60_000 };
    const plan = createSoakPlan(options);
    assert.deepEqual(createSoakPlan(options), plan);
    assert.ok(plan.length > 40, `${plan.length}`);
    for (const [index, { atMs, target }] of plan.entries()) {
      assert.ok(atMs < 60_000 && target < 1_000);
      assert.ok(atMs >= (plan[index - 1]?.atMs ?? 0));
    }
    assert.ok(new Set(plan.map(({ kind }) => kind)).size >= 17);
  });
});
