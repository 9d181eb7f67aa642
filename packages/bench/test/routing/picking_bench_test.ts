import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isWithinBound } from "../../src/bench/bench.ts";
import { PickingBench } from "../../src/routing/picking_bench.ts";

describe("PickingBench.run", () => {
  it("meets the bounds of all checks in the short form", async () => {
    const { checks } = await new PickingBench().run({ seed: 2, quick: true });
    assert.equal(checks.length, 8);
    for (const check of checks) {
      assert.ok(isWithinBound(check), `${check.name} is ${check.found}`);
    }
  });
});
