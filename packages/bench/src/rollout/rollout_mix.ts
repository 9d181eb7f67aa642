/**
 * Defines the training workloads of the rollout bench.
 * @module
 */
import type { TrainingStructure } from "@briarhill/contract/contract/contract_structure";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";

/** A trainer of a mix. */
export interface MixTrainer {
  readonly customer: string;
  readonly favours: TrainingStructure["favours"];
  readonly maxVersionsBehind: number;
  readonly maxAgeMs: number;
  readonly maxOpenLots: number;
  readonly groups: number;
  readonly samplesPerGroup: number;
  /** The median length of a sample over all prompts, in tokens. */
  readonly medianTokens: number;
  readonly maxTokens: number;
  readonly promptTokens: number;
  /** The time of a training step, between two lots. */
  readonly trainMs: number;
}

/** A training workload and the engines that it runs on. */
export interface RolloutMix {
  readonly name: string;
  readonly engines: number;
  readonly trainers: readonly MixTrainer[];
  /** The share of engine time that live calls use. */
  readonly liveShare: number;
  /** The mean time between failures of an engine. */
  readonly failureMs: number;
  /** The factor by which a step of a slow engine takes longer. */
  readonly slowFactor: number;
  /** The duration of a slowdown. */
  readonly slowMs: number;
}

/** The log-normal sigma of sample lengths between prompts and within a prompt. */
const PROMPT_SIGMA = 0.7;
const SAMPLE_SIGMA = 0.45;

/** The mix of the agency: two trainers that favour little idle time. */
export const AGENCIA: RolloutMix = {
  name: "agencia",
  engines: 6,
  liveShare: 0.15,
  failureMs: 3_600_000,
  slowFactor: 3,
  slowMs: 60_000,
  trainers: ["names", "variants"].map((customer) => ({
    customer,
    favours: "idle-time",
    maxVersionsBehind: 4,
    maxAgeMs: 900_000,
    maxOpenLots: 4,
    groups: 64,
    samplesPerGroup: 8,
    medianTokens: 420,
    maxTokens: 4096,
    promptTokens: 300,
    trainMs: 70_000,
  })),
};

/** The mix of the fan pleaters: three trainers that favour low staleness. */
export const MAISON: RolloutMix = {
  name: "maison",
  engines: 6,
  liveShare: 0.15,
  failureMs: 3_600_000,
  slowFactor: 3,
  slowMs: 60_000,
  trainers: ["pleats", "borders", "ribs"].map((customer) => ({
    customer,
    favours: "staleness",
    maxVersionsBehind: 1,
    maxAgeMs: 300_000,
    maxOpenLots: 4,
    groups: 32,
    samplesPerGroup: 16,
    medianTokens: 300,
    maxTokens: 3072,
    promptTokens: 200,
    trainMs: 70_000,
  })),
};

/**
 * Returns a mix whose engines fail more often and slow down more and for longer.
 *
 * @example
 * ```ts
 * const mix = buildSlowMix(AGENCIA);
 * ```
 * @param mix - The mix.
 */
export function buildSlowMix(mix: RolloutMix): RolloutMix {
  return {
    ...mix,
    name: `${mix.name}-slow`,
    failureMs: 1_200_000,
    slowFactor: 10,
    slowMs: 300_000,
  };
}

/**
 * Returns a mix with more engines and proportionally larger lots.
 *
 * @example
 * ```ts
 * const mix = buildScaledMix(AGENCIA, 48);
 * ```
 * @param mix - The mix.
 * @param engines - The number of engines.
 */
export function buildScaledMix(mix: RolloutMix, engines: number): RolloutMix {
  const factor = engines / mix.engines;
  const trainers = mix.trainers.map((trainer) => ({
    ...trainer,
    groups: Math.round(trainer.groups * factor),
  }));
  return { ...mix, name: `${mix.name}-${engines}`, engines, trainers };
}

/**
 * Draws the length factors of prompts, relative to the median length. Scales
 * them to the mean of the distribution, so that the total number of tokens does
 * not depend on the seed.
 *
 * @example
 * ```ts
 * const factors = drawPromptFactors(128, random);
 * ```
 * @param count - The number of prompts.
 * @param random - The source of random numbers.
 */
export function drawPromptFactors(
  count: number,
  random: SeededRandom,
): readonly number[] {
  const drawn = Array.from(
    { length: count },
    () => random.getLogNormal(1, PROMPT_SIGMA),
  );
  const mean = drawn.reduce((sum, factor) => sum + factor, 0) / count;
  const expectedMean = Math.exp(PROMPT_SIGMA ** 2 / 2);
  return drawn.map((factor) => factor * expectedMean / mean);
}

/**
 * Draws the length of a sample.
 *
 * @example
 * ```ts
 * const tokens = drawLength(trainer, { factor: 1, random });
 * ```
 * @param trainer - The trainer.
 * @param prompt - The prompt's length factor and the source of random numbers.
 */
export function drawLength(
  trainer: MixTrainer,
  prompt: { readonly factor: number; readonly random: SeededRandom },
): number {
  const tokens = prompt.random.getLogNormal(
    trainer.medianTokens * prompt.factor,
    SAMPLE_SIGMA,
  );
  return Math.max(8, Math.min(trainer.maxTokens, Math.round(tokens)));
}
