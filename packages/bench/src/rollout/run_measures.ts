/**
 * Collects the measurements of a run of the rollout bench.
 * @module
 */
import type { StalenessStructure } from "@briarhill/contract/contract/contract_structure";
import type { Staleness } from "@briarhill/rollout/staleness/staleness_rule";

/** The staleness of a sample at its delivery and the staleness bounds of its contract. */
export interface DeliveryMeasure {
  readonly staleness: Staleness;
  readonly bound: StalenessStructure;
}

/** The measurements of one run. */
export interface RunReport {
  readonly steps: number;
  readonly stepP50Ms: number;
  readonly stepP99Ms: number;
  readonly stepMeanMs: number;
  /** The mean time that a trainer waited for a lot to be complete. */
  readonly idleMeanMs: number;
  readonly tailP50Ms: number;
  readonly versionsP50: number;
  readonly versionsP99: number;
  readonly ageP99Ms: number;
  /** The share of generated tokens that are not part of a delivered sample. */
  readonly wastedShare: number;
  /** Delivered samples that exceed the staleness bounds of their contract. */
  readonly overBound: number;
  readonly staleDropped: number;
  readonly generatedTokens: number;
  readonly deliveredTokens: number;
  /** The mean number of tokens of finished samples that are not delivered yet. */
  readonly undeliveredTokens: number;
  readonly runningTokens: number;
  /** The tokens of the lots whose steps are measured, without warm-up. */
  readonly workTokens: number;
  readonly workPromptTokens: number;
}

/** Collects the measurements of a run of the rollout bench. */
export class RunMeasures {
  readonly #stepMs: number[] = [];
  readonly #idleMs: number[] = [];
  readonly #tailMs: number[] = [];
  readonly #versions: number[] = [];
  readonly #ageMs: number[] = [];
  readonly #undeliveredTokens: number[] = [];
  readonly #runningTokens: number[] = [];
  #generated = 0;
  #delivered = 0;
  #wasted = 0;
  #workTokens = 0;
  #workPromptTokens = 0;
  #dropped = 0;
  #overBound = 0;

  /**
   * Adds generated tokens, whether or not they are delivered later.
   *
   * @param tokens - The number of tokens.
   */
  addGenerated(tokens: number): void {
    this.#generated += tokens;
  }

  /**
   * Adds tokens that will not be part of any delivered sample.
   *
   * @param tokens - The number of tokens.
   */
  addWasted(tokens: number): void {
    this.#wasted += tokens;
  }

  /**
   * Adds a sample that was dropped because it exceeded its staleness bound.
   *
   * @param tokens - The length of the sample.
   */
  addDropped(tokens: number): void {
    this.#dropped++;
    this.#wasted += tokens;
  }

  /**
   * Adds the tokens that would be lost at one time by a crash of the owner of all lots.
   *
   * @param tokens - The tokens of finished samples that are not delivered, and of
   * running samples.
   */
  addTokensAtRisk(
    tokens: { readonly undelivered: number; readonly running: number },
  ): void {
    this.#undeliveredTokens.push(tokens.undelivered);
    this.#runningTokens.push(tokens.running);
  }

  /**
   * Adds the tokens of a lot whose step is measured.
   *
   * @param tokens - The tokens of the samples.
   * @param promptTokens - The tokens of the prompts, once per sample.
   */
  addWork(tokens: number, promptTokens: number): void {
    this.#workTokens += tokens;
    this.#workPromptTokens += promptTokens;
  }

  /**
   * Adds a delivered sample.
   *
   * @param tokens - The length of the sample.
   * @param delivery - The staleness at delivery and the bounds of the contract.
   */
  addDelivered(tokens: number, delivery: DeliveryMeasure): void {
    const { staleness, bound } = delivery;
    const isOver = staleness.versionsBehind > bound.maxVersionsBehind ||
      staleness.ageMs > bound.maxAgeMs;
    this.#overBound += isOver ? 1 : 0;
    this.#delivered += tokens;
    this.#versions.push(staleness.versionsBehind);
    this.#ageMs.push(staleness.ageMs);
  }

  /**
   * Adds a training step.
   *
   * @param step - The step time, the trainer's idle time, and the time from 95% of the
   * samples to the last one.
   */
  addStep(step: {
    readonly stepMs: number;
    readonly idleMs: number;
    readonly tailMs: number;
  }): void {
    this.#stepMs.push(step.stepMs);
    this.#idleMs.push(step.idleMs);
    this.#tailMs.push(step.tailMs);
  }

  /** Returns the measurements so far. */
  getReport(): RunReport {
    return {
      steps: this.#stepMs.length,
      stepP50Ms: getQuantile(this.#stepMs, 0.5),
      stepP99Ms: getQuantile(this.#stepMs, 0.99),
      stepMeanMs: getMean(this.#stepMs),
      idleMeanMs: getMean(this.#idleMs),
      tailP50Ms: getQuantile(this.#tailMs, 0.5),
      versionsP50: getQuantile(this.#versions, 0.5),
      versionsP99: getQuantile(this.#versions, 0.99),
      ageP99Ms: getQuantile(this.#ageMs, 0.99),
      wastedShare: this.#wasted / Math.max(1, this.#generated),
      overBound: this.#overBound,
      staleDropped: this.#dropped,
      generatedTokens: this.#generated,
      deliveredTokens: this.#delivered,
      undeliveredTokens: getMean(this.#undeliveredTokens),
      runningTokens: getMean(this.#runningTokens),
      workTokens: this.#workTokens,
      workPromptTokens: this.#workPromptTokens,
    };
  }
}

function getQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}
