/**
 * Simulates engines and a weight store in virtual time for tests of weight rollouts.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import {
  type WeightCommand,
  WeightRollout,
  type WeightRolloutOptions,
} from "../../src/weights/weight_rollout.ts";

const TICK_MS = 50;
const READ_MS = 10;
const LOAD_MS = 3_000;
const SWITCH_MS = 500;

/** State of a simulated engine. */
export interface SimulatedEngine {
  readonly endpoint: string;
  readonly checksFencing: boolean;
  incarnation: number;
  version: number;
  loaded: number | undefined;
  switching: boolean;
  isUp: boolean;
}

/** Simulates engines that carry out the commands of a rollout, with random failures. */
export class SimulatedEngines {
  nowMs = 0;
  readonly engines: SimulatedEngine[];
  readonly fetchTimesMs: number[] = [];
  maxSwitching = 0;
  /** Number of commands to engines that were down. */
  commandsToDownEngines = 0;
  rollout: WeightRollout;
  readonly #options: WeightRolloutOptions;
  readonly #random: SeededRandom;
  readonly #failureRate: number;
  #events: { readonly atMs: number; readonly run: () => void }[] = [];

  constructor(
    count: number,
    setup: WeightRolloutOptions & {
      readonly seed: number;
      readonly failureRate?: number;
      readonly checksFencing?: boolean;
    },
  ) {
    this.#options = setup;
    this.#random = new SeededRandom(setup.seed);
    this.#failureRate = setup.failureRate ?? 0;
    this.rollout = new WeightRollout(setup, 0);
    this.engines = Array.from({ length: count }, (_, index) => ({
      endpoint: `engine-${index}`,
      checksFencing: setup.checksFencing ?? true,
      incarnation: 1,
      version: 1,
      loaded: undefined,
      switching: false,
      isUp: true,
    }));
  }

  /** Replaces the leader; orders of the previous leader still take effect. */
  takeOver(targetVersion: number): void {
    this.rollout = new WeightRollout(this.#options, this.nowMs);
    this.rollout.handleAnnounced(targetVersion);
  }

  /** Schedules an event after a delay. */
  schedule(delayMs: number, run: () => void): void {
    this.#events.push({ atMs: this.nowMs + delayMs, run });
  }

  /** Returns whether all engines that are up serve a version. */
  isServing(version: number): boolean {
    return this.engines.every((engine) =>
      !engine.isUp || engine.version === version
    );
  }

  /** Runs until a condition holds or the limit has passed; returns the elapsed time in milliseconds. */
  runUntil(condition: () => boolean, limitMs: number): number {
    const startMs = this.nowMs;
    while (!condition() && this.nowMs - startMs < limitMs) {
      this.#runTick();
    }
    return this.nowMs - startMs;
  }

  /** Returns the maximum number of fetches that started within any second. */
  getMaxFetchesPerSecond(): number {
    return Math.max(
      0,
      ...this.fetchTimesMs.map((startMs) =>
        this.fetchTimesMs.filter((atMs) =>
          atMs >= startMs && atMs < startMs + 1_000
        ).length
      ),
    );
  }

  #runTick(): void {
    this.nowMs += TICK_MS;
    const due = this.#events.filter(({ atMs }) => atMs <= this.nowMs);
    this.#events = this.#events.filter(({ atMs }) => atMs > this.nowMs);
    due.forEach(({ run }) => run());
    this.rollout.handleEngines(this.engines);
    const { rollout } = this;
    for (const command of rollout.advance(this.nowMs)) {
      this.#runCommand(command, rollout);
    }
    const switching = this.engines.filter((engine) => engine.switching).length;
    this.maxSwitching = Math.max(this.maxSwitching, switching);
  }

  #runCommand(command: WeightCommand, rollout: WeightRollout): void {
    const engine = this.engines
      .find(({ endpoint }) => endpoint === command.endpoint);
    if (engine === undefined || !engine.isUp) {
      this.commandsToDownEngines++;
      this.schedule(
        READ_MS,
        () => rollout.handleFailure(command.endpoint, this.nowMs),
      );
      return;
    }
    const fails = command.kind !== "read" &&
      this.#random.getFloat() < this.#failureRate;
    const delayMs = { read: READ_MS, load: LOAD_MS, switch: SWITCH_MS }[
      command.kind
    ];
    if (command.kind === "load") {
      this.fetchTimesMs.push(this.nowMs);
    }
    engine.switching ||= command.kind === "switch";
    this.schedule(delayMs, () => {
      engine.switching = false;
      if (fails) {
        rollout.handleFailure(command.endpoint, this.nowMs);
        return;
      }
      applyCommand(engine, command);
      const { version, loaded, endpoint } = engine;
      rollout.handleWeights(endpoint, { version, loaded }, this.nowMs);
    });
  }
}

function applyCommand(engine: SimulatedEngine, command: WeightCommand): void {
  if (command.kind === "load") {
    engine.loaded = command.version;
  } else if (command.kind === "switch") {
    engine.version = command.version;
    engine.loaded = undefined;
  }
}
