/**
 * Rolls a model's newest weights out to its engines. Engines load a new version
 * while they serve the old one, at the rate that the weight store permits, and
 * switch to it in waves. The number of engines that switch at the same time must
 * leave the live floor serving; a single engine may always switch.
 * @module
 */
import type { EndpointId, WeightVersion } from "@briarhill/common/ids/ids";
import { getTakeoverStep } from "../leases/takeover.ts";
import {
  EngineRolloutState,
  type EngineWeights,
  type RolloutEngine,
  type WeightOrderKind,
} from "./engine_rollout_state.ts";
import { FetchRateLimiter } from "./fetch_rate_limiter.ts";

/** Options of `WeightRollout`. */
export interface WeightRolloutOptions {
  /** Maximum number of fetches per second that the engines of this rollout start. */
  readonly fetchesPerSecond: number;
  /** Minimum share of the engines that serve during a wave, from 0 to 1. */
  readonly liveFloor: number;
  /** Maximum time for which an order of a previous leader may be in flight. */
  readonly longestOrderMs: number;
  /** Minimum and maximum backoff after failures of an engine. */
  readonly minRetryMs: number;
  readonly maxRetryMs: number;
  /** Interval at which the state of an engine that checks the fencing number is read again. */
  readonly rereadIntervalMs: number;
}

/** A command that the leader sends to an engine. */
export type WeightCommand =
  | { readonly kind: "read"; readonly endpoint: EndpointId }
  | {
    readonly kind: WeightOrderKind;
    readonly endpoint: EndpointId;
    readonly version: WeightVersion;
  };

/** Default options of `WeightRollout`. */
export const DEFAULT_ROLLOUT_OPTIONS: WeightRolloutOptions = {
  fetchesPerSecond: 10,
  liveFloor: 0.75,
  longestOrderMs: 20_000,
  minRetryMs: 250,
  maxRetryMs: 30_000,
  rereadIntervalMs: 30_000,
};

/** Decides the leader's commands for one model during one term. */
export class WeightRollout {
  #options: WeightRolloutOptions;
  readonly #claimedAtMs: number;
  readonly #engineStates = new Map<EndpointId, EngineRolloutState>();
  readonly #fetchLimiter: FetchRateLimiter;
  #targetVersion: WeightVersion | undefined;

  /** Creates the rollout of a leader that sent its claim at `claimedAtMs`. */
  constructor(options: WeightRolloutOptions, claimedAtMs: number) {
    this.#options = options;
    this.#claimedAtMs = claimedAtMs;
    this.#fetchLimiter = new FetchRateLimiter(
      options.fetchesPerSecond,
      claimedAtMs,
    );
  }

  /** Returns the target version: the newest announced version, which all engines have to serve. */
  getTargetVersion(): WeightVersion | undefined {
    return this.#targetVersion;
  }

  /** Returns whether all engines have reported that they serve the target version. */
  isFinished(): boolean {
    return [...this.#engineStates.values()].every(({ weights }) =>
      weights?.version === this.#targetVersion
    );
  }

  /**
   * Replaces the options.
   *
   * @param options - The new options.
   */
  setOptions(options: WeightRolloutOptions): void {
    this.#options = options;
    this.#fetchLimiter.setRate(options.fetchesPerSecond);
  }

  /**
   * Applies an announced version; ignores it if it is older than the target version.
   *
   * @param version - The announced version.
   */
  handleAnnounced(version: WeightVersion): void {
    this.#targetVersion = Math.max(version, this.#targetVersion ?? version);
  }

  /**
   * Applies the list of engines that serve the model. A new incarnation discards
   * the known state of an engine, which is then read again.
   *
   * @param engines - All engines that serve the model.
   */
  handleEngines(engines: readonly RolloutEngine[]): void {
    const known = new Set(engines.map(({ endpoint }) => endpoint));
    for (const endpoint of this.#engineStates.keys()) {
      if (!known.has(endpoint)) {
        this.#engineStates.delete(endpoint);
      }
    }
    for (const engine of engines) {
      const state = this.#engineStates.get(engine.endpoint);
      if (state?.engine.incarnation === engine.incarnation) {
        state.engine = engine;
      } else {
        this.#engineStates.set(engine.endpoint, new EngineRolloutState(engine));
      }
    }
  }

  /**
   * Applies the weights that an engine reported, in response to a command or
   * unsolicited.
   *
   * @param endpoint - The endpoint of the engine.
   * @param weights - The reported weights.
   * @param nowMs - The current monotonic time.
   */
  handleWeights(
    endpoint: EndpointId,
    weights: EngineWeights,
    nowMs: number,
  ): void {
    this.#engineStates.get(endpoint)?.handleWeights(weights, nowMs);
  }

  /**
   * Applies the failure of a command, whether or not it took effect at the engine.
   *
   * @param endpoint - The endpoint of the engine.
   * @param nowMs - The current monotonic time.
   */
  handleFailure(endpoint: EndpointId, nowMs: number): void {
    const { minRetryMs, maxRetryMs } = this.#options;
    this.#engineStates.get(endpoint)
      ?.handleFailure({ minMs: minRetryMs, maxMs: maxRetryMs }, nowMs);
  }

  /**
   * Returns the commands to send now and marks them as in flight.
   *
   * @param nowMs - The current monotonic time.
   */
  advance(nowMs: number): readonly WeightCommand[] {
    const idle = [...this.#engineStates.values()].filter((state) =>
      state.pending === undefined && nowMs >= state.retryAtMs
    );
    const readDue = idle.filter((state) => this.#isReadDue(state, nowMs));
    const ready = idle.filter((state) =>
      !this.#isReadDue(state, nowMs) && this.#isOrderAllowed(state, nowMs)
    );
    return [
      ...readDue.map(startRead),
      ...this.#orderSwitches(ready),
      ...this.#orderLoads(ready, nowMs),
    ];
  }

  /** Returns the switches to order. They precede loads: they free no capacity, but the whole rollout waits for them. */
  #orderSwitches(
    ready: readonly EngineRolloutState[],
  ): readonly WeightCommand[] {
    const version = this.#targetVersion;
    if (version === undefined) {
      return [];
    }
    const states = [...this.#engineStates.values()];
    const switching = states.filter(({ pending }) => pending === "switch");
    const maxSwitching = Math.floor(
      states.length * (1 - this.#options.liveFloor),
    );
    const freeSlots = Math.max(1, maxSwitching) - switching.length;
    return ready
      .filter((state) => state.getNextOrder(version) === "switch")
      .slice(0, Math.max(0, freeSlots))
      .map((state) => startOrder(state, "switch", version));
  }

  #orderLoads(
    ready: readonly EngineRolloutState[],
    nowMs: number,
  ): readonly WeightCommand[] {
    const version = this.#targetVersion;
    if (version === undefined) {
      return [];
    }
    return ready
      .filter((state) => state.getNextOrder(version) === "load")
      .sort((a, b) => a.failures - b.failures)
      .filter(() => this.#fetchLimiter.acquireFetch(nowMs))
      .map((state) => startOrder(state, "load", version));
  }

  #isOrderAllowed(state: EngineRolloutState, nowMs: number): boolean {
    return this.#getStep(state, nowMs) === "order";
  }

  #isReadDue(state: EngineRolloutState, nowMs: number): boolean {
    const step = this.#getStep(state, nowMs);
    const ageMs = nowMs - (state.readAtMs ?? -Infinity);
    return step === "read" || step === "order" &&
        ageMs >= this.#options.rereadIntervalMs;
  }

  #getStep(state: EngineRolloutState, nowMs: number): string {
    return getTakeoverStep({
      checksFencing: state.engine.checksFencing,
      claimedAtMs: this.#claimedAtMs,
      longestOrderMs: this.#options.longestOrderMs,
      readAtMs: state.readAtMs,
      nowMs,
    }).kind;
  }
}

function startRead(state: EngineRolloutState): WeightCommand {
  state.pending = "read";
  return { kind: "read", endpoint: state.engine.endpoint };
}

function startOrder(
  state: EngineRolloutState,
  kind: WeightOrderKind,
  version: WeightVersion,
): WeightCommand {
  state.pending = kind;
  return { kind, endpoint: state.engine.endpoint, version };
}
