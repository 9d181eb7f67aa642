import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isWithinBound } from "../../src/bench/bench.ts";
import { ConfigurationBench } from "../../src/control/configuration_bench.ts";

describe("ConfigurationBench", () => {
  it("stays within its bounds in the quick run", async () => {
    const bench = new ConfigurationBench();
    const { checks } = await bench.run({ seed: 1, quick: true });
    assert.deepEqual(checks.filter((check) => !isWithinBound(check)), []);
    assert.equal(checks.length, 2);
  });
});
