/**
 * Models one lot of a trainer in the rollout bench.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { VersionSpan } from "@briarhill/rollout/samples/version_span";
import type { ScheduledLot } from "@briarhill/rollout/scheduling/generation";
import { drawLength, type MixTrainer } from "./rollout_mix.ts";

/** A finished sample that is not delivered yet. */
export interface FinishedSample {
  readonly slot: number;
  readonly tokens: number;
  readonly spans: readonly VersionSpan[];
}

/** One lot of a trainer: the sample lengths and the finished and delivered samples. */
export class TrainingLot {
  readonly scheduled: ScheduledLot;
  readonly lengths: readonly number[];
  readonly finished: Map<number, FinishedSample> = new Map();
  readonly delivered: Set<number> = new Set();
  /** The finish times of the samples, for the time of the stragglers. */
  readonly finishedMs: number[] = [];

  constructor(trainer: MixTrainer, options: {
    readonly step: number;
    readonly nowMs: number;
    readonly deadlineMs: number;
    readonly seed: number;
    readonly factors: readonly number[];
  }) {
    const random = new SeededRandom(options.seed);
    const prompts = Array.from(
      { length: trainer.groups },
      () => random.getInteger(options.factors.length),
    );
    this.lengths = prompts.flatMap((prompt) =>
      Array.from(
        { length: trainer.samplesPerGroup },
        () =>
          drawLength(trainer, {
            factor: options.factors[prompt] ?? 1,
            random,
          }),
      )
    );
    this.scheduled = {
      id: `${trainer.customer}-${options.step}`,
      customer: trainer.customer,
      dueMs: options.nowMs + options.deadlineMs,
      samples: this.lengths.length,
      samplesPerGroup: trainer.samplesPerGroup,
      prompts: prompts.map((prompt) => `${trainer.customer}-${prompt}`),
    };
  }

  /** Returns whether all samples of the lot are delivered. */
  isComplete(): boolean {
    return this.delivered.size === this.lengths.length;
  }

  /** Returns the number of tokens of all samples. */
  countTokens(): number {
    return this.lengths.reduce((sum, tokens) => sum + tokens, 0);
  }
}
