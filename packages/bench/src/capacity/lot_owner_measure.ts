/**
 * Measures the cost of one finished sample at the owner of a lot, against the
 * size of the lot.
 * @module
 */
import { Lot } from "@briarhill/rollout/lots/lot";
import {
  buildSampleId,
  type SampleStructure,
} from "@briarhill/rollout/samples/sample_structure";
import { LotModel } from "./lot_model.ts";
import { RoleMeasure, type RoleState } from "./role_measure.ts";

const SAMPLES_PER_GROUP = 8;
const PROMPT_BYTES = 1024;
const TEXT_BYTES = 2048;
const TOKENS = 400;
const STEP_S = 180;
const WARM_UP_SAMPLES = 16_384;
const TARGET_SAMPLES = 16_384;

/** Measures the cost of one finished sample at the owner of a lot. */
export class LotOwnerMeasure extends RoleMeasure {
  override readonly role = "lot owner";
  override readonly unit = "samples in a lot";
  override readonly sizes = [1024, 4096, 8192, TARGET_SAMPLES];
  override readonly target = {
    size: TARGET_SAMPLES,
    eventsPerSecond: TARGET_SAMPLES / STEP_S,
    isControl: false,
  };

  override countWarmUp(size: number): number {
    return size * Math.ceil(WARM_UP_SAMPLES / size);
  }

  /** Returns the events of complete lots. */
  override countEvents(size: number): number {
    return this.countWarmUp(size);
  }

  override buildState(size: number): RoleState {
    const held: { model: LotModel | undefined } = { model: undefined };
    const intervalMs = STEP_S * 1000 / size;
    const handleEvent = (index: number) => {
      const slot = index % size;
      if (held.model === undefined || slot === 0) {
        held.model = new LotModel(createLot(size, index));
      }
      const { lot } = held.model;
      return held.model.handleSample(createSample(lot, slot), intervalMs);
    };
    return { handleEvent, held };
  }
}

function createLot(size: number, index: number): Lot {
  const groups = Array.from(
    { length: size / SAMPLES_PER_GROUP },
    (_, group) => ({
      id: `group-${group}`,
      prompt: `${index}-${group} `.padEnd(PROMPT_BYTES, "p"),
    }),
  );
  return Lot.createUnchecked({
    id: `step-${index}`,
    customer: "customer-1",
    model: "names-es",
    step: 1,
    groups,
    samplesPerGroup: SAMPLES_PER_GROUP,
    sampling: { temperature: 1, topP: 1, maxTokens: TOKENS },
    deadlineMs: STEP_S * 1000,
  });
}

function createSample(lot: Lot, slot: number): SampleStructure {
  const { group, indexInGroup } = lot.getSlotOrThrow(slot);
  const { id } = lot.structure;
  // A string decoded from a buffer is flat in memory, like one from a socket.
  const text = Buffer.alloc(TEXT_BYTES, `${slot} `).toString("latin1");
  return {
    id: buildSampleId(id, { slot, attempt: 1 }),
    lot: id,
    slot,
    attempt: 1,
    group: group.id,
    indexInGroup,
    text,
    tokens: TOKENS,
    finishReason: "stop",
    spans: [{ fromToken: 0, toToken: TOKENS, version: 1 }],
  };
}
