/**
 * Models an engine with continuous batching in virtual time.
 * @module
 */
import type { WeightVersion } from "@briarhill/common/ids/ids";
import {
  DEFAULT_ENGINE,
  type EngineJobObserver,
  type EngineJobStructure,
  type EngineModelSettings,
  type ModelLoad,
} from "./engine_job.ts";
import { ModelCache, type ModelCacheEvent } from "./model_cache.ts";
import { compareJobs, RunningJob } from "./running_job.ts";
import type { VirtualEvent, VirtualScheduler } from "./virtual_scheduler.ts";

/**
 * Models an engine with continuous batching. Each decode step adds one token to
 * every running job, and prefill delays the steps. The model schedules one event
 * per change of the batch rather than one per token.
 */
export class EngineModel {
  readonly settings: EngineModelSettings;
  readonly #scheduler: VirtualScheduler;
  readonly #running = new Map<string, RunningJob>();
  readonly #cache: ModelCache;
  #queue: RunningJob[] = [];
  #sequence = 0;
  #version: WeightVersion = 1;
  #slowdown = 1;
  #isUp = true;
  #syncedMs = 0;
  #stallMs = 0;
  #stepMs = 0;
  #next: VirtualEvent | undefined;
  #generatedSteps = 0;

  constructor(
    scheduler: VirtualScheduler,
    settings: Partial<EngineModelSettings> = {},
  ) {
    this.#scheduler = scheduler;
    this.settings = { ...DEFAULT_ENGINE, ...settings };
    this.#cache = new ModelCache(this.settings.cachedPrefixes);
  }

  /** Returns the current load. */
  getLoad(): ModelLoad {
    return {
      running: this.#running.size,
      queued: this.#queue.length,
      slots: this.settings.slots,
    };
  }

  /**
   * Lists the changes of the prefix cache after a sequence number.
   *
   * @param after - The last sequence number that the caller knows.
   */
  listCacheEvents(after: number): readonly ModelCacheEvent[] {
    return this.#cache.listEvents(after);
  }

  /** Returns the number of tokens generated since the start. */
  getGeneratedTokens(): number {
    this.#advanceSteps();
    return Math.floor(this.#generatedSteps);
  }

  /** Returns whether the engine accepts jobs. */
  isUp(): boolean {
    return this.#isUp;
  }

  /**
   * Returns the number of tokens of a job, or undefined if the job is unknown.
   *
   * @param id - The job.
   */
  getTokens(id: string): number | undefined {
    this.#advanceSteps();
    const job = this.#running.get(id) ?? this.#findQueued(id);
    return job?.getResult("finished").tokens;
  }

  /**
   * Adds a job; on an engine that is down the job breaks immediately.
   *
   * @param structure - The job.
   * @param observer - Receives the events of the job.
   */
  addJob(structure: EngineJobStructure, observer: EngineJobObserver): void {
    const sequence = this.#sequence++;
    const job = new RunningJob(structure, { observer, sequence });
    if (!this.#isUp) {
      this.#scheduler.schedule(
        0,
        () => observer.onEnd(job.getResult("broken")),
      );
      return;
    }
    this.#advanceSteps();
    this.#queue.push(job);
    this.#scheduleNext();
  }

  /**
   * Cancels a job; does nothing if the job is unknown.
   *
   * @param id - The job.
   */
  cancelJob(id: string): void {
    this.#advanceSteps();
    const job = this.#running.get(id) ?? this.#findQueued(id);
    if (job !== undefined) {
      this.#running.delete(id);
      this.#queue = this.#queue.filter((other) => other !== job);
      job.observer.onEnd(job.getResult("cancelled"));
      this.#scheduleNext();
    }
  }

  /**
   * Switches to another version, with which running jobs continue.
   *
   * @param version - The version of the weights.
   */
  setVersion(version: WeightVersion): void {
    this.#advanceSteps();
    this.#version = version;
  }

  /**
   * Sets the factor by which the engine is slower than normal; Infinity stops all
   * progress without an error.
   *
   * @param factor - The slowdown factor, 1 for normal speed.
   */
  setSlowdown(factor: number): void {
    this.#advanceSteps();
    this.#slowdown = factor;
    this.#scheduleNext();
  }

  /** Simulates a crash: all jobs break and the cache is lost. */
  stop(): void {
    this.#advanceSteps();
    this.#isUp = false;
    const jobs = [...this.#running.values(), ...this.#queue];
    this.#running.clear();
    this.#queue = [];
    this.#cache.clear();
    this.#next?.cancel();
    for (const job of jobs) {
      job.observer.onEnd(job.getResult("broken"));
    }
  }

  /** Restarts the engine without jobs. */
  start(): void {
    this.#isUp = true;
    this.#stallMs = 0;
    this.#syncedMs = this.#scheduler.getNowMs();
  }

  /** Advances all running jobs to the current time. */
  #advanceSteps(): void {
    const elapsed = this.#scheduler.getNowMs() - this.#syncedMs;
    this.#syncedMs += elapsed;
    const stalled = Math.min(this.#stallMs, elapsed / this.#slowdown);
    this.#stallMs -= stalled;
    const steps = this.#stepMs === 0
      ? 0
      : (elapsed / this.#slowdown - stalled) / this.#stepMs;
    if (steps > 0 && this.#running.size > 0) {
      this.#generatedSteps += steps * this.#running.size;
      for (const job of this.#running.values()) {
        job.addSteps(steps, this.#version);
      }
    }
  }

  /** Fills the slots and schedules the next event of the batch. */
  #scheduleNext(): void {
    this.#admitQueued();
    this.#stepMs = this.settings.stepMs +
      this.settings.stepMsPerJob * Math.max(0, this.#running.size - 1);
    this.#next?.cancel();
    let steps = Infinity;
    for (const job of this.#running.values()) {
      steps = Math.min(steps, job.getStepsToEvent());
    }
    const delayMs = (this.#stallMs + steps * this.#stepMs) * this.#slowdown;
    if (Number.isFinite(delayMs)) {
      this.#next = this.#scheduler.schedule(delayMs, () => this.#handleEvent());
    }
  }

  #handleEvent(): void {
    this.#advanceSteps();
    const jobs = [...this.#running.values()];
    jobs.forEach((job) => job.reportFirstToken());
    const ended = jobs.filter((job) => job.isFinished());
    ended.forEach((job) => this.#running.delete(job.structure.id));
    this.#scheduleNext();
    ended.forEach((job) => job.observer.onEnd(job.getResult("finished")));
  }

  #admitQueued(): void {
    this.#queue.sort(compareJobs);
    while (this.#queue.length > 0) {
      if (this.#running.size >= this.settings.slots && !this.#releaseLowest()) {
        return;
      }
      const job = this.#queue.shift() as RunningJob;
      this.#running.set(job.structure.id, job);
      this.#stallMs += this.#computePrefillMs(job);
    }
  }

  /** Requeues the running job of lowest priority if the first queued job has a higher one. */
  #releaseLowest(): boolean {
    const lowest = [...this.#running.values()].sort(compareJobs).at(-1);
    const first = this.#queue[0];
    if (
      !this.settings.preempts || lowest === undefined || first === undefined ||
      lowest.structure.priority >= first.structure.priority
    ) {
      return false;
    }
    this.#running.delete(lowest.structure.id);
    this.#queue.push(lowest);
    this.#queue.sort(compareJobs);
    return true;
  }

  #computePrefillMs(job: RunningJob): number {
    const { prefix } = job.structure;
    const isCached = prefix !== undefined && this.#cache.add(prefix.hash);
    const tokens = job.getPrefillTokens() - (isCached ? prefix.tokens : 0);
    return Math.max(0, tokens) * this.settings.prefillMsPerToken;
  }

  #findQueued(id: string): RunningJob | undefined {
    return this.#queue.find((job) => job.structure.id === id);
  }
}
