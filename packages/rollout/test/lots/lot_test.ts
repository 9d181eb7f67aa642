import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LotStructure } from "../../src/lots/lot_structure.ts";
import { createLot, createLotStructure } from "../fixtures/lots.ts";

describe("Lot.create", () => {
  const rejected: readonly [Partial<LotStructure>, string][] = [
    [{ id: "step 1" }, "InputError"],
    [{ groups: [] }, "InputError"],
    [{ samplesPerGroup: 0 }, "InputError"],
    [{ samplesPerGroup: 20_000 }, "InputError"],
    [{ deadlineMs: 0 }, "InputError"],
    [{ step: -1 }, "InputError"],
    [
      { sampling: { temperature: 1, topP: 1, maxTokens: 1001 } },
      "InputError",
    ],
    [
      {
        groups: [{ id: "a", prompt: "x" }, { id: "a", prompt: "y" }],
      },
      "InputError",
    ],
    [{ model: "folds" }, "PermissionError"],
  ];
  for (const [change, name] of rejected) {
    it(`rejects ${JSON.stringify(change).slice(0, 60)}`, () => {
      assert.throws(() => createLot(change), { name });
    });
  }

  it("numbers slots in the order of the groups, and rejects a slot out of range", () => {
    const lot = createLot();
    assert.equal(lot.getSampleCount(), 6);
    assert.equal(lot.getSlotOrThrow(3).group.id, "b");
    assert.equal(lot.getSlotOrThrow(3).indexInGroup, 1);
    assert.throws(() => lot.getSlotOrThrow(6), { name: "InputError" });
  });
});

describe("Lot.throwIfDigestDiffers", () => {
  const changes: readonly [Partial<LotStructure>, boolean][] = [
    [{}, true],
    [{ step: 2 }, false],
    [{ samplesPerGroup: 3 }, false],
    [{ groups: [{ id: "a", prompt: "other" }] }, false],
    [{ sampling: { temperature: 0.5, topP: 1, maxTokens: 100 } }, false],
  ];
  for (const [change, same] of changes) {
    it(`${same ? "accepts" : "rejects"} ${JSON.stringify(change)}`, () => {
      const { digest } = createLot(createLotStructure(change));
      const compare = () => createLot().throwIfDigestDiffers(digest);
      if (same) {
        compare();
      } else {
        assert.throws(compare, { name: "LotConflictError" });
      }
    });
  }
});
