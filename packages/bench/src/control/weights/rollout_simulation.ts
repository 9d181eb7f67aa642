/**
 * Simulates engines that execute a leader's rollout orders in virtual time.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import {
  DEFAULT_ROLLOUT_OPTIONS,
  type WeightCommand,
  WeightRollout,
} from "@briarhill/control/weights/weight_rollout";

const TICK_MS = 100;
const READ_MS = 10;
const ANNOUNCE_AT_MS = 5_000;
const TIMEOUT_MS = 3_600_000;
const OLD_VERSION = 1;
const NEW_VERSION = 2;

/** Durations of the operations of a simulated engine. */
export const ENGINE_TIMES_MS = { read: READ_MS, load: 3_000, switch: 500 };

/** Options of a simulation. */
export interface SimulationSetup {
  readonly engines: number;
  readonly fetchesPerSecond: number;
  readonly liveFloor: number;
  /** The share of loads and switches that fail. */
  readonly failureRate: number;
  readonly seed: number;
}

/** The result of a simulation. */
export interface SimulationResult {
  /** From the announcement until all engines serve the version. */
  readonly totalMs: number;
  readonly fetches: number;
  /** The highest number of fetches started in one clock second. */
  readonly mostFetches: number;
  /** The highest number of engines that switched at the same time. */
  readonly mostSwitching: number;
  /** Engine time lost to switches, in milliseconds. */
  readonly lostMs: number;
  /** The highest number of orders in one clock second. */
  readonly mostOrders: number;
}

interface Engine {
  readonly endpoint: EndpointId;
  version: number;
  loaded: number | undefined;
}

/** Simulates the engines of one rollout in virtual time. */
export class RolloutSimulation {
  readonly #setup: SimulationSetup;
  readonly #random: SeededRandom;
  readonly #rollout: WeightRollout;
  readonly #engines = new Map<EndpointId, Engine>();
  readonly #events = new Map<number, (() => void)[]>();
  readonly #fetches = new Map<number, number>();
  readonly #orders = new Map<number, number>();
  #nowMs = 0;
  #remaining: number;
  #switching = 0;
  #mostSwitching = 0;
  #lostMs = 0;

  constructor(setup: SimulationSetup) {
    this.#setup = setup;
    this.#random = new SeededRandom(setup.seed);
    this.#remaining = setup.engines;
    this.#rollout = this.#createRollout();
  }

  /** Runs until all engines serve the new version or the time limit is reached. */
  run(): SimulationResult {
    while (this.#remaining > 0 && this.#nowMs < TIMEOUT_MS) {
      this.#runTick();
    }
    const sum = [...this.#fetches.values()].reduce((a, b) => a + b, 0);
    return {
      totalMs: this.#nowMs - ANNOUNCE_AT_MS,
      fetches: sum,
      mostFetches: Math.max(...this.#fetches.values()),
      mostSwitching: this.#mostSwitching,
      lostMs: this.#lostMs,
      mostOrders: Math.max(...this.#orders.values()),
    };
  }

  #createRollout(): WeightRollout {
    const { engines, fetchesPerSecond, liveFloor } = this.#setup;
    const rollout = new WeightRollout(
      { ...DEFAULT_ROLLOUT_OPTIONS, liveFloor, fetchesPerSecond },
      0,
    );
    for (let index = 0; index < engines; index++) {
      const endpoint = `engine-${index}`;
      const engine = { endpoint, version: OLD_VERSION, loaded: undefined };
      this.#engines.set(endpoint, engine);
    }
    const targets = [...this.#engines.values()];
    rollout.handleEngines(
      targets.map(({ endpoint }) => ({
        endpoint,
        incarnation: 1,
        checksFencing: true,
      })),
    );
    targets.forEach((engine) =>
      rollout.handleWeights(engine.endpoint, engine, 0)
    );
    return rollout;
  }

  #runTick(): void {
    this.#nowMs += TICK_MS;
    const due = this.#events.get(this.#nowMs);
    this.#events.delete(this.#nowMs);
    due?.forEach((event) => event());
    if (this.#nowMs === ANNOUNCE_AT_MS) {
      this.#rollout.handleAnnounced(NEW_VERSION);
    }
    for (const command of this.#rollout.advance(this.#nowMs)) {
      this.#runCommand(command);
    }
    this.#mostSwitching = Math.max(this.#mostSwitching, this.#switching);
  }

  #runCommand(command: WeightCommand): void {
    const engine = this.#engines.get(command.endpoint);
    if (engine === undefined) {
      return;
    }
    const { kind } = command;
    if (kind !== "read") {
      this.#countOrder(kind);
    }
    const fails = kind !== "read" &&
      this.#random.getFloat() < this.#setup.failureRate;
    this.#schedule(ENGINE_TIMES_MS[kind], () => {
      this.#switching -= kind === "switch" ? 1 : 0;
      if (fails) {
        this.#rollout.handleFailure(command.endpoint, this.#nowMs);
        return;
      }
      this.#applyOrder(engine, kind);
      this.#rollout.handleWeights(command.endpoint, engine, this.#nowMs);
    });
  }

  #countOrder(kind: "load" | "switch"): void {
    const second = Math.floor(this.#nowMs / 1_000);
    this.#orders.set(second, (this.#orders.get(second) ?? 0) + 1);
    if (kind === "load") {
      this.#fetches.set(second, (this.#fetches.get(second) ?? 0) + 1);
    } else {
      this.#switching++;
      this.#lostMs += ENGINE_TIMES_MS.switch;
    }
  }

  #applyOrder(engine: Engine, kind: WeightCommand["kind"]): void {
    if (kind === "load") {
      engine.loaded = NEW_VERSION;
    } else if (kind === "switch") {
      engine.version = NEW_VERSION;
      engine.loaded = undefined;
      this.#remaining--;
    }
  }

  #schedule(delayMs: number, event: () => void): void {
    const ticks = Math.max(1, Math.ceil(delayMs / TICK_MS));
    const atMs = this.#nowMs + ticks * TICK_MS;
    const events = this.#events.get(atMs) ?? [];
    events.push(event);
    this.#events.set(atMs, events);
  }
}
