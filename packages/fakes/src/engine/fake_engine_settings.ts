/**
 * How a stand-in engine behaves.
 * @module
 */
import type {
  EndpointId,
  ModelName,
  WeightVersion,
} from "@briarhill/common/ids/ids";

/** How a stand-in engine behaves. */
export interface FakeEngineSettings {
  readonly id: EndpointId;
  /** The models and the versions that serve after a start. */
  readonly models: Readonly<Record<ModelName, WeightVersion>>;
  /** The seed of lost cache events. */
  readonly seed: number;
  readonly slots: number;
  /** Requests that wait for a slot; more are refused. */
  readonly maxQueued: number;
  /** The time of one step of the batch, in which each request gets its tokens. */
  readonly stepMs: number;
  /** What each request in the batch adds to a step. */
  readonly stepMsPerRequest: number;
  readonly tokensPerStep: number;
  readonly prefillMsPerToken: number;
  /** The median length of an answer that nothing limits. */
  readonly medianTokens: number;
  /** The standard deviation of the length's logarithm. */
  readonly lengthSigma: number;
  /** How many blocks of prompts the prefix cache holds. */
  readonly cacheBlocks: number;
  readonly cacheEventLagMs: number;
  /** The share of cache events that get lost. */
  readonly cacheEventLoss: number;
  readonly loadReportLagMs: number;
  /** How long fetched weights take to load. */
  readonly loadMs: number;
  readonly checksFencing: boolean;
  /** Whether each chunk names the version that produced it. */
  readonly reportsVersions: boolean;
  /** Whether running streams go on with new weights after a switch. */
  readonly switchesRunning: boolean;
  /** How long a stream that nobody reads runs on. */
  readonly orphanMs: number;
}

/** How a stand-in engine behaves where nothing else is asked for. */
export const DEFAULT_ENGINE_SETTINGS: FakeEngineSettings = {
  id: "engine-1",
  models: { "names-es": 1 },
  seed: 1,
  slots: 16,
  maxQueued: 256,
  stepMs: 10,
  stepMsPerRequest: 0.5,
  tokensPerStep: 1,
  prefillMsPerToken: 0.05,
  medianTokens: 64,
  lengthSigma: 0.7,
  cacheBlocks: 512,
  cacheEventLagMs: 200,
  cacheEventLoss: 0.05,
  loadReportLagMs: 200,
  loadMs: 200,
  checksFencing: true,
  reportsVersions: true,
  switchesRunning: true,
  orphanMs: 5_000,
};
