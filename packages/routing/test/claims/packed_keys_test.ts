import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PackedKeys } from "../../src/claims/packed_keys.ts";

describe("PackedKeys", () => {
  it("contains exactly the keys that were added", () => {
    const hash = fc.nat(200).map((value) => value.toString(16));
    const batches = fc.array(fc.array(hash), { maxLength: 6 });
    fc.assert(
      fc.property(batches, hash, (added, queried) => {
        const keys = new PackedKeys();
        added.forEach((batch, index) => keys.add(batch, index));
        assert.equal(keys.has(queried), added.flat().includes(queried));
        assert.equal(keys.size, added.flat().length);
      }),
      { seed: 5, numRuns: 500 },
    );
  });

  it("evicts a block once its newest key is old enough", () => {
    const keys = new PackedKeys();
    const block = Array.from(
      { length: 131_072 },
      (_, index) => index.toString(16),
    );
    keys.add(block, 10);
    keys.add(["ffffff"], 20);
    const rows = [[9, true, true], [10, false, true], [20, false, false]];
    for (const [beforeMs, hasFirst, hasSecond] of rows) {
      keys.prune(Number(beforeMs));
      assert.equal(keys.has("5"), hasFirst);
      assert.equal(keys.has("ffffff"), hasSecond);
    }
  });
});
