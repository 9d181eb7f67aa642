import { Contract } from "@briarhill/contract/contract/contract";
import type { ContractStructure } from "@briarhill/contract/contract/contract_structure";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeLiveFloor } from "../../src/weights/live_floor.ts";

interface ContractInput {
  readonly share: number;
  readonly floor: number;
  readonly models: readonly string[];
}

function createContract({ share, floor, models }: ContractInput): Contract {
  const structure = {
    customer: "agencia",
    engineTime: { share, liveFloor: floor },
    live: { models },
  } as unknown as ContractStructure;
  return new Contract(structure, 0);
}

describe("computeLiveFloor", () => {
  function doTest(
    name: string,
    { contracts, engines, expected }: {
      readonly contracts: readonly ContractInput[];
      readonly engines: readonly (readonly string[])[];
      readonly expected: Readonly<Record<string, number>>;
    },
  ): void {
    it(name, () => {
      const input = {
        contracts: contracts.map(createContract),
        engines: engines.map((models) => ({ models })),
      };
      for (const [model, floor] of Object.entries(expected)) {
        const liveFloor = computeLiveFloor(model, input);
        assert.ok(Math.abs(liveFloor - floor) < 1e-9, `${model}: ${liveFloor}`);
      }
    });
  }

  const a = { share: 0.5, floor: 0.8, models: ["a"] };
  const b = { share: 0.5, floor: 0.2, models: ["b"] };
  doTest("sums the floors of all contracts of a model on shared engines", {
    contracts: [a, b, { ...b, models: ["a", "b"] }],
    engines: [["a", "b"], ["a", "b"]],
    expected: { a: 0.5, b: 0.2 },
  });
  doTest("returns a higher share for a model that few engines serve", {
    contracts: [a, b],
    engines: [["a"], ["b"], ["b"], ["b"]],
    expected: { a: 1, b: 0.1 * 4 / 3 },
  });
  doTest("returns 0 for a model without live calls", {
    contracts: [a],
    engines: [["a"], ["c"]],
    expected: { c: 0 },
  });
});
