import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeavingSet } from "../../src/leaving/leaving_set.ts";

describe("LeavingSet", () => {
  it("treats an incarnation as leaving until a newer one appears", () => {
    const leaving = new LeavingSet();
    assert.equal(leaving.add({ id: "e", incarnation: 4 }), true);
    assert.equal(leaving.add({ id: "e", incarnation: 4 }), false);
    assert.equal(leaving.add({ id: "e", incarnation: 3 }), false);
    const rows = [[3, true], [4, true], [5, false]] as const;
    for (const [incarnation, expected] of rows) {
      assert.equal(leaving.has({ id: "e", incarnation }), expected);
    }
    assert.deepEqual(leaving.list(), [{ id: "e", incarnation: 4 }]);
    leaving.prune((id) => id === "e");
    assert.equal(leaving.has({ id: "e", incarnation: 4 }), true);
    leaving.prune(() => false);
    assert.equal(leaving.has({ id: "e", incarnation: 4 }), false);
  });
});
