import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listLotParts, LotParts } from "../../src/trainers/lot_parts.ts";
import { createTrainingLot } from "../fixtures/training_fixtures.ts";

const MAX_CHARS = 300_000;

function createLot(groups: number, chars: number) {
  return createTrainingLot({
    groups: Array.from(
      { length: groups },
      (_, at) => ({ id: `group-${at}`, prompt: `${at}`.padEnd(chars, "x") }),
    ),
  });
}

describe("LotParts", () => {
  for (
    const [groups, chars, expected] of [
      [2, 10, 1],
      [1000, 1000, 4],
      [3, 400_000, 3],
    ] as const
  ) {
    it(`splits ${groups} prompts of ${chars} characters into ${expected} parts and assembles them`, () => {
      const lot = createLot(groups, chars);
      const parts = listLotParts(lot);
      assert.equal(parts.length, expected);
      const assembler = new LotParts();
      const added = parts.map((part) => assembler.addPart(part));
      assert.ok(added.slice(0, -1).every((one) => one === undefined));
      assert.deepEqual(added.at(-1), lot);
      for (const { lot: { groups: partGroups } } of parts) {
        const size = JSON.stringify(partGroups).length;
        assert.ok(partGroups.length === 1 || size < MAX_CHARS, `${size}`);
      }
    });
  }

  it("rejects parts after a missing one and assembles a lot that is sent again", () => {
    const lot = createLot(1000, 1000);
    const parts = listLotParts(lot);
    const assembler = new LotParts();
    parts.slice(0, 2).forEach((part) => assembler.addPart(part));
    parts.slice(3).forEach((part) =>
      assert.throws(() => assembler.addPart(part), { name: "InputError" })
    );
    const added = parts.map((part) => assembler.addPart(part));
    assert.deepEqual(added.at(-1), lot);
  });
});
