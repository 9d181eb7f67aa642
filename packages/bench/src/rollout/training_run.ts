/**
 * Runs trainers, engines and the rollout scheduler in virtual time.
 * @module
 */
import { computeRunAheadLots } from "@briarhill/rollout/staleness/run_ahead";
import type {
  GenerationStructure,
  ScheduleCommand,
} from "@briarhill/rollout/scheduling/generation";
import { RolloutScheduler } from "@briarhill/rollout/scheduling/rollout_scheduler";
import {
  addSpan,
  type VersionSpan,
} from "@briarhill/rollout/samples/version_span";
import type { EngineJobResult } from "../engine_model/engine_job.ts";
import { VirtualScheduler } from "../engine_model/virtual_scheduler.ts";
import { EnginePool } from "./engine_pool.ts";
import { getSpans, type RunningJob } from "./running_generation.ts";
import type { RunOptions } from "./run_options.ts";
import { RunMeasures, type RunReport } from "./run_measures.ts";
import { TrainerModel } from "./trainer_model.ts";

const ROLLOUT_PRIORITY = 20;
const POLL_INTERVAL_MS = 2000;
const AT_RISK_INTERVAL_MS = 60_000;
const MAX_RUN_MS = 36_000_000;

/** A run of one mix under given policies. */
export class TrainingRun {
  readonly #options: RunOptions;
  readonly #clock = new VirtualScheduler();
  readonly #pool: EnginePool;
  readonly #scheduler: RolloutScheduler;
  readonly #jobs = new Map<string, RunningJob>();
  readonly #prefixes = new Map<string, readonly VersionSpan[]>();
  readonly #trainers: readonly TrainerModel[];
  readonly #measures = new RunMeasures();
  #isDeciding = false;

  constructor(options: RunOptions) {
    const { mix, seed, policies } = options;
    this.#options = options;
    this.#pool = new EnginePool(this.#clock, { mix, seed });
    this.#scheduler = new RolloutScheduler(policies);
    this.#trainers = mix.trainers.map((trainer, index) =>
      new TrainerModel(trainer, {
        seed: seed * 100 + index,
        steps: options.steps,
        runAheadLots: this.#getRunAhead(index),
        dropsStaleSamples: policies.cancelsEarly,
        clock: this.#clock,
        measures: this.#measures,
        scheduler: this.#scheduler,
        announce: () => this.#announce(),
      })
    );
  }

  /** Runs until each trainer has done its steps, or `MAX_RUN_MS` of virtual time. */
  run(): RunReport {
    this.#pool.start();
    this.#trainers.forEach((trainer, index) => {
      this.#scheduler.setTerms(trainer.structure.customer, {
        share: 1 / this.#trainers.length,
        runAheadLots: this.#getRunAhead(index),
        maxVersionsBehind: trainer.structure.maxVersionsBehind,
        isPresent: true,
      });
      trainer.start();
    });
    this.#runPoll();
    this.#measureTokensAtRisk();
    while (
      this.#trainers.some((trainer) => !trainer.isDone()) &&
      this.#clock.getNowMs() < MAX_RUN_MS
    ) {
      this.#clock.runUntil(this.#clock.getNowMs() + POLL_INTERVAL_MS);
    }
    return this.#measures.getReport();
  }

  /**
   * Returns the lower bound of the step time: the engine time of one lot of each
   * trainer, divided by the engine capacity that live calls leave.
   *
   * @param report - The measurements of the run.
   */
  computeBoundMs(report: RunReport): number {
    const { mix } = this.#options;
    const workMs = report.workTokens * this.#pool.getTokenMs() +
      report.workPromptTokens * this.#pool.getPromptTokenMs();
    const stepsPerTrainer = report.steps / mix.trainers.length;
    return workMs / (mix.engines * (1 - mix.liveShare)) / stepsPerTrainer;
  }

  #getRunAhead(index: number): number {
    const trainer = this.#options.mix.trainers[index];
    return trainer === undefined || !this.#options.policies.runsAhead
      ? 0
      : computeRunAheadLots({ ...trainer, staleness: trainer });
  }

  #announce(): number {
    const version = this.#pool.announce();
    if (this.#options.policies.cancelsEarly) {
      this.#clock.schedule(0, () => this.#cancelStaleJobs());
    }
    return version;
  }

  /** Cancels generations whose spans already exceed the staleness bound. */
  #cancelStaleJobs(): void {
    for (const [id, job] of this.#jobs) {
      const trainer = this.#getTrainer(job.generation);
      if (trainer !== undefined && !trainer.canDeliver(getSpans(job))) {
        this.#scheduler.handleBroken(job.generation, 0);
        job.engine.cancelJob(id);
      }
    }
    this.#decide();
  }

  #decide(): void {
    if (this.#isDeciding) {
      return;
    }
    this.#isDeciding = true;
    const commands = this.#scheduler.decide({
      nowMs: this.#clock.getNowMs(),
      slots: this.#pool.countSlots(),
      idleTokensPerMs: this.#pool.getUnloadedTokensPerMs(),
      servedVersionsBehind: this.#pool.countServedVersionsBehind(),
    });
    this.#apply(commands);
    this.#isDeciding = false;
  }

  #apply(commands: readonly ScheduleCommand[]): void {
    for (const command of commands) {
      if (command.kind === "start") {
        this.#start(command.generation);
      } else {
        this.#jobs.get(command.id)?.engine.cancelJob(command.id);
      }
    }
  }

  #start(generation: GenerationStructure): void {
    const trainer = this.#getTrainer(generation);
    const tokens = trainer?.getLength(generation);
    if (trainer === undefined || tokens === undefined) {
      return;
    }
    const original = this.#jobs.get(generation.duplicateOf ?? "");
    const engine = this.#pool.pickEngine(
      this.#options.policies.picking,
      original?.engine,
    );
    const prefix = this.#getPrefix(generation);
    const version = this.#pool.getVersion(engine);
    this.#jobs.set(generation.id, { generation, engine, prefix, version });
    const { promptTokens } = trainer.structure;
    engine.addJob({
      id: generation.id,
      promptTokens,
      outputTokens: tokens,
      priority: ROLLOUT_PRIORITY,
      fromToken: generation.fromToken,
    }, { onEnd: (result) => this.#handleEnd(generation, result) });
  }

  #handleEnd(generation: GenerationStructure, result: EngineJobResult): void {
    const job = this.#jobs.get(generation.id);
    this.#jobs.delete(generation.id);
    this.#measures.addGenerated(result.tokens - generation.fromToken);
    const spans = result.spans.reduce(addSpan, job?.prefix ?? []);
    if (result.outcome === "finished") {
      const { tokens } = result;
      this.#apply(this.#scheduler.handleFinished(generation, tokens));
      this.#getTrainer(generation)?.handleFinished(generation, {
        slot: generation.slot,
        tokens,
        spans,
      });
    } else if (result.outcome === "cancelled") {
      this.#measures.addWasted(result.tokens - generation.fromToken);
    } else {
      this.#handleBroken(generation, { tokens: result.tokens, spans });
    }
    this.#clock.schedule(0, () => this.#decide());
  }

  #handleBroken(
    generation: GenerationStructure,
    partial: {
      readonly tokens: number;
      readonly spans: readonly VersionSpan[];
    },
  ): void {
    const canDeliver =
      this.#getTrainer(generation)?.canDeliver(partial.spans) ?? false;
    const key = `${generation.lot}/${generation.slot}`;
    this.#prefixes.set(key, canDeliver ? partial.spans : []);
    if (!canDeliver || !this.#options.policies.resumes) {
      this.#measures.addWasted(partial.tokens);
    }
    this.#scheduler.handleBroken(generation, canDeliver ? partial.tokens : 0);
  }

  #getPrefix(generation: GenerationStructure): readonly VersionSpan[] {
    const key = `${generation.lot}/${generation.slot}`;
    return generation.fromToken > 0 ? this.#prefixes.get(key) ?? [] : [];
  }

  #getTrainer(generation: GenerationStructure): TrainerModel | undefined {
    return this.#trainers.find((trainer) => trainer.hasLot(generation.lot));
  }

  /** Records the tokens that a crash of the host that owns all lots would lose now. */
  #measureTokensAtRisk(): void {
    let running = 0;
    for (const [id, { engine }] of this.#jobs) {
      running += engine.getTokens(id) ?? 0;
    }
    const undelivered = this.#trainers
      .reduce((sum, trainer) => sum + trainer.countUndeliveredTokens(), 0);
    this.#measures.addTokensAtRisk({ undelivered: undelivered, running });
    this.#clock.schedule(
      AT_RISK_INTERVAL_MS,
      () => this.#measureTokensAtRisk(),
    );
  }

  #runPoll(): void {
    for (const [id, { generation, engine }] of this.#jobs) {
      this.#scheduler.handleProgress(generation, engine.getTokens(id) ?? 0);
    }
    this.#decide();
    this.#clock.schedule(POLL_INTERVAL_MS, () => this.#runPoll());
  }
}
