/**
 * Simulates the engines of the rollout bench with live calls, failures and
 * changes of weights.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type {
  EngineJobObserver,
  EngineJobStructure,
} from "../engine_model/engine_job.ts";
import { EngineModel } from "../engine_model/engine_model.ts";
import type { VirtualScheduler } from "../engine_model/virtual_scheduler.ts";
import type { RolloutMix } from "./rollout_mix.ts";

const RESTART_MS = 30_000;
const SWITCH_WINDOW_MS = 20_000;
const LIVE_OUTPUT_TOKENS = 200;
const LIVE_PROMPT_TOKENS = 100;
const LIVE_PRIORITY = 80;

/** The policy by which the pool picks an engine. */
export type EnginePicking = "round-robin" | "least-running";

/** The simulated engines of the rollout bench. */
export class EnginePool {
  readonly engines: readonly EngineModel[];
  readonly #scheduler: VirtualScheduler;
  readonly #versions = new Map<EngineModel, number>();
  readonly #random: SeededRandom;
  readonly #mix: RolloutMix;
  #next = 0;
  #liveCount = 0;
  #version = 0;

  constructor(
    scheduler: VirtualScheduler,
    options: { readonly mix: RolloutMix; readonly seed: number },
  ) {
    this.#scheduler = scheduler;
    this.#mix = options.mix;
    this.#random = new SeededRandom(options.seed);
    this.engines = Array.from(
      { length: options.mix.engines },
      () => new EngineModel(scheduler),
    );
  }

  /** Starts the live calls and the failures. */
  start(): void {
    this.engines.forEach((engine) => {
      this.#setVersion(engine, 0);
      this.#scheduleFailure(engine);
    });
    this.#scheduleLive();
  }

  /** Returns the number of slots that training may use now. */
  countSlots(): number {
    const up = this.engines.filter((engine) => engine.isUp());
    const slots = up.reduce((sum, engine) => sum + engine.settings.slots, 0);
    return Math.floor(slots * (1 - this.#mix.liveShare));
  }

  /**
   * Returns the version of the weights that an engine serves.
   *
   * @param engine - The engine.
   */
  getVersion(engine: EngineModel): number {
    return this.#versions.get(engine) ?? 0;
  }

  /** Returns 1 if an engine that is up serves an older version than the newest, else 0. */
  countServedVersionsBehind(): number {
    const oldest = Math.min(
      ...this.engines.filter((engine) => engine.isUp())
        .map((engine) => this.getVersion(engine)),
    );
    return oldest < this.#version ? 1 : 0;
  }

  /** Returns the engine time of one output token on a fully occupied engine. */
  getTokenMs(): number {
    const { slots, stepMs, stepMsPerJob } = this.#getSettings();
    return (stepMs + stepMsPerJob * (slots - 1)) / slots;
  }

  /** Returns the engine time of one prompt token. */
  getPromptTokenMs(): number {
    return this.#getSettings().prefillMsPerToken;
  }

  /** Returns the tokens per millisecond of a job that runs alone on an engine. */
  getUnloadedTokensPerMs(): number {
    return 1 / this.#getSettings().stepMs;
  }

  /**
   * Picks an engine for a job.
   *
   * @param picking - The picking policy.
   * @param excluded - An engine that is picked only if no other is up.
   */
  pickEngine(picking: EnginePicking, excluded?: EngineModel): EngineModel {
    const candidates = this.engines.filter((engine) =>
      engine.isUp() && engine !== excluded
    );
    const all = candidates.length > 0 ? candidates : this.engines;
    const next = all[this.#next++ % all.length] as EngineModel;
    if (picking === "round-robin") {
      return next;
    }
    return all.reduce(
      (best, engine) => countJobs(engine) < countJobs(best) ? engine : best,
      next,
    );
  }

  /**
   * Switches the engines to the next version, each at a random time within
   * `SWITCH_WINDOW_MS`, and returns that version.
   */
  announce(): number {
    const version = ++this.#version;
    for (const engine of this.engines) {
      const delayMs = this.#random.getFloat() * SWITCH_WINDOW_MS;
      this.#scheduler.schedule(delayMs, () => {
        if (this.getVersion(engine) < version) {
          this.#setVersion(engine, version);
        }
      });
    }
    return version;
  }

  #setVersion(engine: EngineModel, version: number): void {
    this.#versions.set(engine, version);
    engine.setVersion(version);
  }

  #getSettings(): EngineModel["settings"] {
    return (this.engines[0] as EngineModel).settings;
  }

  #scheduleLive(): void {
    const jobMs = LIVE_OUTPUT_TOKENS * this.getTokenMs() +
      LIVE_PROMPT_TOKENS * this.getPromptTokenMs();
    const meanMs = jobMs / (this.engines.length * this.#mix.liveShare);
    this.#scheduler.schedule(this.#random.getExponential(meanMs), () => {
      const job: EngineJobStructure = {
        id: `live-${this.#liveCount++}`,
        promptTokens: LIVE_PROMPT_TOKENS,
        outputTokens: LIVE_OUTPUT_TOKENS,
        priority: LIVE_PRIORITY,
      };
      const observer: EngineJobObserver = { onEnd: () => {} };
      this.pickEngine("least-running").addJob(job, observer);
      this.#scheduleLive();
    });
  }

  #scheduleFailure(engine: EngineModel): void {
    const delayMs = this.#random.getExponential(this.#mix.failureMs);
    const isCrash = this.#random.getFloat() < 0.5;
    this.#scheduler.schedule(delayMs, () => {
      if (isCrash) {
        engine.stop();
      } else {
        engine.setSlowdown(this.#mix.slowFactor);
      }
      this.#scheduler.schedule(isCrash ? RESTART_MS : this.#mix.slowMs, () => {
        if (isCrash) {
          engine.start();
          this.#setVersion(engine, this.#version);
        } else {
          engine.setSlowdown(1);
        }
        this.#scheduleFailure(engine);
      });
    });
  }
}

function countJobs(engine: EngineModel): number {
  const { running, queued } = engine.getLoad();
  return running + queued;
}
