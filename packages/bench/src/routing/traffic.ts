/**
 * Defines the requests, contracts and faults of the routing bench.
 * @module
 */
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import { Contract } from "@briarhill/contract/contract/contract";
import type { EngineModelSettings } from "../engine_model/engine_job.ts";

/** Settings of one run of the model. */
export interface TrafficSettings {
  readonly seed: number;
  readonly hosts: number;
  readonly engines: number;
  readonly durationMs: number;
  /** Live calls per second over all hosts. */
  readonly livePerSecond: number;
  readonly training: boolean;
  readonly fault: TrafficFault;
  /** The part of each share that is reserved for live calls. */
  readonly liveFloor: number;
}

/** The fault that occurs a third of the way into a run; late reports last all of it. */
export type TrafficFault = "none" | "crash" | "slow" | "late-reports";

/** One request of the model. */
export interface ModelRequest {
  readonly id: string;
  readonly customer: string;
  readonly requestClass: "live" | "rollout";
  readonly prefixHash: string;
  readonly promptTokens: number;
  readonly prefixTokens: number;
  readonly outputTokens: number;
  readonly arrivedMs: number;
}

/** The settings of the model's engines. */
export const MODEL_ENGINE: Partial<EngineModelSettings> = {
  slots: 32,
  stepMs: 12,
  stepMsPerJob: 0.15,
  prefillMsPerToken: 0.05,
  cachedPrefixes: 6,
};

/** The customers of the model and their shares. */
export const MODEL_SHARES: Readonly<Record<string, number>> = {
  agencia: 0.6,
  maison: 0.4,
};

const PREFIXES_PER_CUSTOMER = 12;
const PREFIX_TOKENS = 800;
const LIVE_MEDIAN_TOKENS = 60;
const ROLLOUT_MEDIAN_TOKENS = 300;

/**
 * Builds the contracts of the model.
 *
 * @example
 * ```ts
 * const contracts = buildContracts(0.4);
 * ```
 * @param liveFloor - The part of each share that is reserved for live calls.
 */
export function buildContracts(liveFloor: number): readonly Contract[] {
  return Object.entries(MODEL_SHARES).map(([customer, share]) =>
    new Contract({
      customer,
      keyHashes: [],
      engineTime: { share, liveFloor, lend: true, takeBackMs: 2000 },
      live: {
        models: ["names"],
        priority: 80,
        maxOpenCalls: 1000,
        maxQueuedCalls: 200,
        maxTokens: 1000,
        maxBodyBytes: 1_000_000,
        deadlineMs: 30_000,
      },
      services: [],
      training: undefined,
    }, 0)
  );
}

/**
 * Draws a live call.
 *
 * @example
 * ```ts
 * const call = drawLive(random, { id: "live-1", arrivedMs: 0 });
 * ```
 * @param random - The source of randomness.
 * @param base - The id and the arrival time of the call.
 */
export function drawLive(
  random: SeededRandom,
  base: { readonly id: string; readonly arrivedMs: number },
): ModelRequest {
  const customer = random.getFloat() < 0.6 ? "agencia" : "maison";
  // Most calls use few prefixes, like the prompts of an application.
  const rank = Math.floor(PREFIXES_PER_CUSTOMER * random.getFloat() ** 3);
  return {
    ...base,
    customer,
    requestClass: "live",
    prefixHash: `${customer}-${rank}`,
    promptTokens: PREFIX_TOKENS + 100,
    prefixTokens: PREFIX_TOKENS,
    outputTokens: drawTokens(random, LIVE_MEDIAN_TOKENS),
  };
}

/**
 * Draws a rollout.
 *
 * @example
 * ```ts
 * const rollout = drawRollout(random, { id: "r-1", customer: "maison", arrivedMs: 0 });
 * ```
 * @param random - The source of randomness.
 * @param base - The id, customer and arrival time of the rollout.
 */
export function drawRollout(
  random: SeededRandom,
  base: {
    readonly id: string;
    readonly customer: string;
    readonly arrivedMs: number;
  },
): ModelRequest {
  return {
    ...base,
    requestClass: "rollout",
    prefixHash: "",
    promptTokens: 200,
    prefixTokens: 0,
    outputTokens: drawTokens(random, ROLLOUT_MEDIAN_TOKENS),
  };
}

function drawTokens(random: SeededRandom, median: number): number {
  return Math.max(
    1,
    Math.min(2000, Math.round(random.getLogNormal(median, 0.5))),
  );
}
