/**
 * Describes a generation that a member runs for a lot of this host.
 * @module
 */
import type { SampleWork } from "@briarhill/rollout/assignment/sample_work";
import type { Contract } from "@briarhill/contract/contract/contract";
import type { Lot } from "@briarhill/rollout/lots/lot";
import type { SamplePrefix } from "@briarhill/rollout/samples/sample_assembly";
import type { SampleStructure } from "@briarhill/rollout/samples/sample_structure";
import type { GenerationStructure } from "@briarhill/rollout/scheduling/generation";
import type { StalenessRule } from "@briarhill/rollout/staleness/staleness_rule";
import type { LotRunner } from "./lot_runner.ts";

/** A lot whose samples are produced on behalf of this host. */
export interface ProducedLot {
  readonly key: string;
  readonly lot: Lot;
  readonly contract: Contract;
  readonly rule: StalenessRule;
  readonly runner: LotRunner;
}

/** A generation that a member runs. */
export interface RunningGeneration {
  readonly produced: ProducedLot;
  readonly generation: GenerationStructure;
  /** The tokens that it resumes after. */
  readonly prefix: SamplePrefix | undefined;
  /** Whether the text is complete and only the score is outstanding. */
  isGenerated: boolean;
}

/**
 * Builds the description of a sample that is sent to a member.
 *
 * @example
 * ```ts
 * const work = buildWork({ produced, generation }, prefix);
 * ```
 * @param running - The lot and the generation.
 * @param prefix - The tokens of an earlier generation to resume after.
 */
export function buildWork(
  running: Pick<RunningGeneration, "produced" | "generation">,
  prefix: SamplePrefix | undefined,
): SampleWork {
  const { lot } = running.produced;
  const { slot, attempt, expectedTokens } = running.generation;
  const { group, indexInGroup } = lot.getSlotOrThrow(slot);
  const { id, customer, model, adapter, sampling, deadlineMs } = lot.structure;
  return {
    lot: {
      id,
      customer,
      model,
      sampling,
      deadlineMs,
      ...(adapter === undefined ? {} : { adapter }),
    },
    group,
    slot,
    indexInGroup,
    attempt,
    expectedTokens,
    ...(prefix === undefined ? {} : { prefix }),
  };
}

/**
 * Returns whether a sample has the lot, slot and attempt of a generation.
 *
 * @example
 * ```ts
 * const isExpected = isSampleOf(running, end.sample);
 * ```
 * @param running - The generation.
 * @param sample - The sample that a member reported.
 */
export function isSampleOf(
  running: RunningGeneration,
  sample: SampleStructure,
): boolean {
  const { produced, generation } = running;
  return sample.lot === produced.lot.structure.id &&
    sample.slot === generation.slot && sample.attempt === generation.attempt;
}
