/**
 * Checks the samples that a trainer received in one step against its lot and
 * contract.
 * @module
 */
import type { ReceivedSample } from "./trainer_client.ts";

/** The lot size and staleness bound that a step is checked against. */
export interface StepExpectation {
  readonly size: number;
  readonly maxVersionsBehind: number;
}

/** The faults of one step; its lists are empty if none was found. */
export interface StepVerdict {
  readonly isWhole: boolean;
  readonly duplicates: readonly string[];
  readonly outOfOrder: readonly number[];
  /** Samples whose spans do not cover their tokens without gaps. */
  readonly mislabelled: readonly string[];
  readonly stale: readonly string[];
  readonly maxVersionsBehind: number;
}

/**
 * Checks the samples that a trainer received in one step.
 *
 * @example
 * ```ts
 * const verdict = checkStep(record.samples, { size: 16, maxVersionsBehind: 4 });
 * ```
 * @param samples - All samples, in the order of their arrival.
 * @param expected - The lot size and the staleness bound of the contract.
 */
export function checkStep(
  samples: readonly ReceivedSample[],
  expected: StepExpectation,
): StepVerdict {
  const ids = samples.map((sample) => sample.sampleId);
  const behind = samples.map(getVersionsBehind);
  return {
    isWhole: samples.length === expected.size,
    duplicates: ids.filter((id, index) => ids.indexOf(id) !== index),
    outOfOrder: samples
      .filter((sample, index) => sample.position !== index)
      .map((sample) => sample.position),
    mislabelled: samples.filter((sample) => !hasGaplessSpans(sample))
      .map((sample) => sample.sampleId),
    stale: samples
      .filter((_, index) => (behind[index] ?? 0) > expected.maxVersionsBehind)
      .map((sample) => sample.sampleId),
    maxVersionsBehind: Math.max(0, ...behind),
  };
}

/**
 * Returns whether a step fulfils the guarantees of the contract.
 *
 * @example
 * ```ts
 * const ok = isStepSound(checkStep(samples, expected));
 * ```
 * @param verdict - The result of the check.
 */
export function isStepSound(verdict: StepVerdict): boolean {
  return verdict.isWhole && verdict.duplicates.length === 0 &&
    verdict.outOfOrder.length === 0 && verdict.mislabelled.length === 0 &&
    verdict.stale.length === 0;
}

function getVersionsBehind(sample: ReceivedSample): number {
  const oldest = Math.min(...sample.spans.map((span) => span.version));
  return Math.max(0, sample.newestVersion - oldest);
}

function hasGaplessSpans(sample: ReceivedSample): boolean {
  let next = 0;
  for (const { fromToken, toToken } of sample.spans) {
    if (fromToken !== next || toToken <= fromToken) {
      return false;
    }
    next = toToken;
  }
  return sample.spans.length > 0;
}
