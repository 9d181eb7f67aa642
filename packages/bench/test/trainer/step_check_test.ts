import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkStep, isStepSound } from "../../src/trainer/step_check.ts";
import type { ReceivedSample } from "../../src/trainer/trainer_client.ts";

function createSample(edit: Partial<ReceivedSample> = {}): ReceivedSample {
  return {
    position: 0,
    sampleId: "a",
    groupId: "g",
    text: "x",
    spans: [{ fromToken: 0, toToken: 4, version: 1 }],
    newestVersion: 1,
    ...edit,
  };
}

describe("checkStep", () => {
  function doTest(
    samples: readonly ReceivedSample[],
    expected: boolean,
  ): void {
    const verdict = checkStep(samples, { size: 2, maxVersionsBehind: 1 });
    assert.equal(isStepSound(verdict), expected, JSON.stringify(verdict));
  }

  const second = createSample({ sampleId: "b", position: 1 });

  it("accepts a sound step and reports each kind of fault", () => {
    doTest([createSample(), second], true);
    doTest([createSample()], false);
    doTest([createSample(), { ...second, sampleId: "a" }], false);
    doTest([createSample(), { ...second, position: 2 }], false);
    doTest([createSample(), { ...second, newestVersion: 3 }], false);
    doTest([createSample(), { ...second, spans: [] }], false);
    doTest([
      createSample(),
      { ...second, spans: [{ fromToken: 1, toToken: 2, version: 1 }] },
    ], false);
  });
});
