/**
 * Defines the settings, jobs and load reports of the engine model.
 * @module
 */
import type { WeightVersion } from "@briarhill/common/ids/ids";

/** The timing and capacity of a modelled engine. */
export interface EngineModelSettings {
  readonly slots: number;
  /** The prefill time of one uncached prompt token. */
  readonly prefillMsPerToken: number;
  /** The time of a decode step with one running job. */
  readonly stepMs: number;
  /** The time that each further running job adds to a decode step. */
  readonly stepMsPerJob: number;
  /** The number of prompt prefixes that the cache holds before it evicts the least recently used. */
  readonly cachedPrefixes: number;
  /** Whether a queued job of higher priority preempts a running one. */
  readonly preempts: boolean;
}

/** The settings of an engine of typical size. */
export const DEFAULT_ENGINE: EngineModelSettings = {
  slots: 32,
  prefillMsPerToken: 0.05,
  stepMs: 12,
  stepMsPerJob: 0.5,
  cachedPrefixes: 64,
  preempts: true,
};

/** A generation to run on the model. */
export interface EngineJobStructure {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Jobs with a higher value run first. */
  readonly priority: number;
  /** The prompt prefix shared with other jobs, and its length. */
  readonly prefix?: { readonly hash: string; readonly tokens: number };
  /** The number of tokens already generated elsewhere, which count as prompt. */
  readonly fromToken?: number;
}

/** A range of tokens that one version of the weights produced. */
export interface ModelSpan {
  readonly fromToken: number;
  readonly toToken: number;
  readonly version: WeightVersion;
}

/** The result of a job. */
export interface EngineJobResult {
  readonly id: string;
  readonly outcome: "finished" | "broken" | "cancelled";
  /** The number of tokens of the complete stream so far. */
  readonly tokens: number;
  readonly spans: readonly ModelSpan[];
}

/** Receives the events of a job. */
export interface EngineJobObserver {
  onFirstToken?(): void;
  onEnd(result: EngineJobResult): void;
}

/** The load that the model reports, without the delay that the caller adds. */
export interface ModelLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
}
