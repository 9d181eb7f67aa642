import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeSampleSeed } from "../../src/trainers/sample_seed.ts";

interface Change {
  readonly customer?: string;
  readonly id?: string;
  readonly slot?: number;
  readonly seed?: number;
}

function computeSeed(
  { customer = "a", id = "1", slot = 0, seed }: Change,
): number {
  const sampling = {
    temperature: 1,
    topP: 1,
    maxTokens: 8,
    ...(seed === undefined ? {} : { seed }),
  };
  const lot = { id, customer, model: "m", sampling, deadlineMs: 1 };
  return computeSampleSeed({ lot, slot });
}

describe("computeSampleSeed", () => {
  it("returns the same seed for each attempt of a sample", () => {
    assert.equal(computeSeed({ slot: 3 }), computeSeed({ slot: 3 }));
  });

  const changes: readonly Change[] = [
    { slot: 1 },
    { id: "2" },
    { customer: "b" },
    { customer: "a1", id: "" },
  ];
  for (const change of changes) {
    it(`returns a different seed for ${JSON.stringify(change)}`, () => {
      assert.notEqual(computeSeed(change), computeSeed({}));
    });
  }

  it("adds the slot to the seed of the lot", () => {
    assert.equal(computeSeed({ seed: 40, slot: 2 }), 42);
  });
});
