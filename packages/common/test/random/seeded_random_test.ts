import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../src/random/seeded_random.ts";

describe("SeededRandom", () => {
  it("returns the same numbers for the same seed", () => {
    const a = new SeededRandom(7);
    const b = new SeededRandom(7);
    const draw = (source: SeededRandom) =>
      Array.from({ length: 100 }, () => source.getFloat());
    assert.deepEqual(draw(a), draw(b));
  });

  it("returns log-normal numbers with the given median", () => {
    const random = new SeededRandom(1);
    const values = Array.from(
      { length: 10_001 },
      () => random.getLogNormal(100, 1),
    );
    const median = values.sort((a, b) => a - b)[5000] ?? 0;
    assert.ok(median > 90 && median < 110, `median is ${median}`);
  });
});
