import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isWithinBound } from "../../src/bench/bench.ts";
import { LotOwnerBench } from "../../src/lots/lot_owner_bench.ts";

describe("LotOwnerBench.run", () => {
  it("meets the bounds of all checks in the short form", async () => {
    const { checks } = await new LotOwnerBench().run({ seed: 1, quick: true });
    assert.equal(checks.length, 6);
    for (const check of checks) {
      assert.ok(isWithinBound(check), `${check.name} is ${check.found}`);
    }
  });
});
