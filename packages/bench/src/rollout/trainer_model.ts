/**
 * Simulates a trainer of the rollout bench.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { VersionSpan } from "@briarhill/rollout/samples/version_span";
import type { GenerationStructure } from "@briarhill/rollout/scheduling/generation";
import type { RolloutScheduler } from "@briarhill/rollout/scheduling/rollout_scheduler";
import { StalenessRule } from "@briarhill/rollout/staleness/staleness_rule";
import {
  type VersionAnnouncement,
  VersionHistory,
} from "@briarhill/rollout/staleness/version_history";
import type { VirtualScheduler } from "../engine_model/virtual_scheduler.ts";
import { drawPromptFactors, type MixTrainer } from "./rollout_mix.ts";
import type { RunMeasures } from "./run_measures.ts";
import { type FinishedSample, TrainingLot } from "./training_lot.ts";

const PROMPT_POOL_FACTOR = 2;
const LOT_DEADLINE_MS = 180_000;
const TAIL_SHARE = 0.95;
/**
 * Steps that are not measured: the lengths of prompts are not known yet, and the
 * pipeline is not full.
 */
const WARM_UP_STEPS = 3;

/** Options of a simulated trainer. */
export interface TrainerModelOptions {
  readonly seed: number;
  readonly steps: number;
  readonly runAheadLots: number;
  readonly dropsStaleSamples: boolean;
  readonly clock: VirtualScheduler;
  readonly measures: RunMeasures;
  readonly scheduler: RolloutScheduler;
  /** Switches the engines to a new version and returns it. */
  readonly announce: () => number;
}

/** A trainer that repeatedly waits for a lot, trains and announces new weights. */
export class TrainerModel {
  readonly structure: MixTrainer;
  readonly #options: TrainerModelOptions;
  readonly #rule: StalenessRule;
  readonly #factors: readonly number[];
  readonly #lots = new Map<string, TrainingLot>();
  readonly #announced: VersionAnnouncement[] = [];
  #history = new VersionHistory([]);
  #submittedLots = 0;
  #step = 0;
  #trainingEndMs = 0;
  #lastStepEndMs = 0;
  #isTraining = false;

  constructor(structure: MixTrainer, options: TrainerModelOptions) {
    this.structure = structure;
    this.#options = options;
    this.#rule = new StalenessRule(structure);
    const random = new SeededRandom(options.seed);
    const prompts = structure.groups * PROMPT_POOL_FACTOR;
    this.#factors = drawPromptFactors(prompts, random);
  }

  /** Returns whether all steps are done. */
  isDone(): boolean {
    return this.#step >= this.#options.steps + WARM_UP_STEPS;
  }

  /** Submits the first lots. */
  start(): void {
    this.#sendLots();
  }

  /**
   * Returns whether a lot belongs to this trainer.
   *
   * @param lot - The id of the lot.
   */
  hasLot(lot: string): boolean {
    return this.#lots.has(lot);
  }

  /**
   * Returns the final length of a sample in tokens.
   *
   * @param generation - The generation that produces the sample.
   */
  getLength(generation: GenerationStructure): number | undefined {
    return this.#lots.get(generation.lot)?.lengths[generation.slot];
  }

  /**
   * Returns whether a sample with these spans is still within the staleness bound.
   *
   * @param spans - The version spans of the tokens so far.
   */
  canDeliver(spans: readonly VersionSpan[]): boolean {
    const wallMs = this.#options.clock.getNowMs();
    return this.#rule.isWithinBound(spans, { history: this.#history, wallMs });
  }

  /**
   * Handles a finished sample.
   *
   * @param generation - The generation that produced the sample.
   * @param sample - The sample.
   */
  handleFinished(
    generation: GenerationStructure,
    sample: FinishedSample,
  ): void {
    const lot = this.#lots.get(generation.lot);
    if (lot !== undefined) {
      lot.finished.set(sample.slot, sample);
      lot.finishedMs.push(this.#options.clock.getNowMs());
      this.#pull();
    }
  }

  /** Returns the number of tokens of finished samples that are not delivered yet. */
  countUndeliveredTokens(): number {
    let tokens = 0;
    for (const lot of this.#lots.values()) {
      for (const sample of lot.finished.values()) {
        tokens += sample.tokens;
      }
    }
    return tokens;
  }

  #sendLots(): void {
    const { runAheadLots, clock, scheduler, seed } = this.#options;
    const last = this.#step + runAheadLots;
    for (; this.#submittedLots <= last; this.#submittedLots++) {
      const lot = new TrainingLot(this.structure, {
        step: this.#submittedLots,
        nowMs: clock.getNowMs(),
        deadlineMs: LOT_DEADLINE_MS,
        seed: seed * 1000 + this.#submittedLots,
        factors: this.#factors,
      });
      this.#lots.set(lot.scheduled.id, lot);
      scheduler.addLot(lot.scheduled);
      const slots = lot.lengths.map((_, slot) => ({ slot, attempt: 1 }));
      scheduler.addSlots(lot.scheduled.id, slots);
    }
  }

  #getCurrentLot(): TrainingLot | undefined {
    return this.#lots.get(`${this.structure.customer}-${this.#step}`);
  }

  /** Delivers the finished samples of the current lot and drops stale ones. */
  #pull(): void {
    const lot = this.#getCurrentLot();
    if (lot === undefined || this.#isTraining) {
      return;
    }
    const context = {
      history: this.#history,
      wallMs: this.#options.clock.getNowMs(),
    };
    for (const sample of lot.finished.values()) {
      if (this.#rule.isWithinBound(sample.spans, context)) {
        lot.delivered.add(sample.slot);
        const staleness = this.#rule.measureStaleness(sample.spans, context);
        this.#options.measures.addDelivered(sample.tokens, {
          staleness,
          bound: this.structure,
        });
      } else {
        this.#dropSample(lot, sample);
      }
    }
    lot.finished.clear();
    if (lot.isComplete()) {
      this.#finishStep(lot);
    }
  }

  #dropSample(lot: TrainingLot, sample: FinishedSample): void {
    const { measures, scheduler } = this.#options;
    measures.addDropped(sample.tokens);
    scheduler.addSlots(lot.scheduled.id, [{ slot: sample.slot, attempt: 9 }]);
  }

  #finishStep(lot: TrainingLot): void {
    const { clock, measures, scheduler } = this.#options;
    const nowMs = clock.getNowMs();
    if (this.#step >= WARM_UP_STEPS && !this.isDone()) {
      measures.addWork(
        lot.countTokens(),
        lot.lengths.length * this.structure.promptTokens,
      );
      const at = Math.floor(TAIL_SHARE * lot.finishedMs.length);
      measures.addStep({
        stepMs: nowMs - this.#lastStepEndMs,
        idleMs: nowMs - this.#trainingEndMs,
        tailMs: (lot.finishedMs.at(-1) ?? 0) - (lot.finishedMs[at] ?? 0),
      });
    }
    this.#lastStepEndMs = nowMs;
    this.#isTraining = true;
    this.#lots.delete(lot.scheduled.id);
    scheduler.removeLot(lot.scheduled.id, true);
    this.#step++;
    if (this.#options.runAheadLots > 0) {
      this.#sendLots();
    }
    clock.schedule(this.structure.trainMs, () => this.#finishTraining());
  }

  #finishTraining(): void {
    const { clock, scheduler, announce } = this.#options;
    const announcedAtMs = clock.getNowMs();
    this.#announced.push({ version: announce(), announcedAtMs });
    this.#history = new VersionHistory(this.#announced);
    scheduler.handleAnnounced(this.structure.customer);
    this.#isTraining = false;
    this.#trainingEndMs = announcedAtMs;
    this.#sendLots();
    if (this.#options.dropsStaleSamples) {
      this.#dropStaleSamples();
    }
    this.#pull();
  }

  #dropStaleSamples(): void {
    for (const lot of this.#lots.values()) {
      for (const sample of lot.finished.values()) {
        if (!this.canDeliver(sample.spans)) {
          lot.finished.delete(sample.slot);
          this.#dropSample(lot, sample);
        }
      }
    }
  }
}
