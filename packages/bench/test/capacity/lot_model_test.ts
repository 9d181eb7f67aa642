import { Lot } from "@briarhill/rollout/lots/lot";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LotModel } from "../../src/capacity/lot_model.ts";

const GROUPS = 20;
const SAMPLES_PER_GROUP = 4;
const INTERVAL_MS = 1000;

describe("LotModel.handleSample", () => {
  it("settles every sample of a lot and appends its hashes", () => {
    const model = new LotModel(createLot());
    const samples = GROUPS * SAMPLES_PER_GROUP;
    let appendedBytes = 0;
    for (let slot = 0; slot < samples; slot++) {
      const sample = createSample(model.lot, slot);
      appendedBytes += model.handleSample(sample, INTERVAL_MS);
    }
    assert.equal(model.countSettled(), samples);
    assert(appendedBytes > samples * 43, `${appendedBytes} bytes appended`);
  });
});

function createLot(): Lot {
  return Lot.createUnchecked({
    id: "lot",
    customer: "a",
    model: "m",
    step: 1,
    groups: Array.from(
      { length: GROUPS },
      (_, index) => ({ id: `${index}`, prompt: "p" }),
    ),
    samplesPerGroup: SAMPLES_PER_GROUP,
    sampling: { temperature: 1, topP: 1, maxTokens: 8 },
    deadlineMs: 1000,
  });
}

function createSample(lot: Lot, slot: number) {
  return {
    id: `lot/${slot}.1`,
    lot: lot.structure.id,
    slot,
    attempt: 1,
    group: `${Math.floor(slot / SAMPLES_PER_GROUP)}`,
    indexInGroup: slot % SAMPLES_PER_GROUP,
    text: "t",
    tokens: 1,
    finishReason: "stop" as const,
    spans: [{ fromToken: 0, toToken: 1, version: 1 }],
  };
}
