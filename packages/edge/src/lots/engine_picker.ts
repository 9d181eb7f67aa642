/**
 * Picks the engines of samples, and remembers how fast they were.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import { assignEngines } from "@briarhill/control/orders/engine_assignment";
import { listEngines } from "@briarhill/rollout/dispatch/engine_choice";
import { EnginePace } from "@briarhill/rollout/dispatch/engine_pace";
import {
  decideMoves,
  type RunningSample,
} from "@briarhill/rollout/dispatch/straggler_policy";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";

/** Weight of the newest sample in the tokens of an event. */
const SAMPLE_WEIGHT = 0.05;
/** Used before the first sample has ended, in tokens. */
const FIRST_EVENT_TOKENS = 50;

/** What a picker needs. */
export interface EnginePickerOptions {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  readonly failureDomain: string;
  readonly getTable: () => RouteTable | undefined;
}

/** A move of a running sample. */
export interface EngineMove {
  readonly sample: string;
  readonly engine: EndpointStructure;
}

/** Picks the engines of samples. */
export class EnginePicker {
  readonly #options: EnginePickerOptions;
  readonly #pace = new EnginePace();
  #eventTokens = FIRST_EVENT_TOKENS;
  #homesKey = "";
  #homes: ReturnType<typeof assignEngines> = new Map();

  constructor(options: EnginePickerOptions) {
    this.#options = options;
  }

  /** The usual tokens of an event, as trainers' hints count them. */
  get eventTokens(): number {
    return this.#eventTokens;
  }

  /**
   * Records a run.
   *
   * @param engine - The engine.
   * @param run - Its events and their time; its expected tokens where it was whole, else 0.
   */
  addRun(
    engine: string,
    run: {
      readonly events: number;
      readonly tookMs: number;
      readonly nowMs: number;
      readonly tokens: number;
    },
  ): void {
    this.#pace.addRun(engine, run);
    this.#options.directory.board.getLoad(engine).setPace(
      this.#pace.getRatio(engine, run.nowMs),
    );
    if (run.tokens > 0 && run.events > 0) {
      const eventTokens = run.tokens / run.events;
      this.#eventTokens += SAMPLE_WEIGHT * (eventTokens - this.#eventTokens);
    }
  }

  /**
   * Returns the engine for the next sample of a lot, or undefined where it has to wait.
   *
   * @param lot - The lot.
   * @param route - Its route.
   */
  pickEngine(
    lot: LotRequest,
    route: RouteStructure,
  ): EndpointStructure | undefined {
    const { directory, clock, failureDomain } = this.#options;
    return directory.board.pickEndpoint({
      candidates: this.#listEngines(lot, route),
      tried: new Set(),
      failureDomain,
      nowMs: clock.getMonotonicMs(),
    });
  }

  /**
   * Returns the running samples that go on elsewhere.
   *
   * @param running - The running samples of a lot.
   * @param lot - The lot.
   * @param route - Its route.
   */
  decideMoves(
    running: readonly RunningSample[],
    lot: LotRequest,
    route: RouteStructure,
  ): readonly EngineMove[] {
    if (running.length === 0) {
      return [];
    }
    const { clock, directory } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const engines = this.#listEngines(lot, route);
    const free = engines.flatMap(({ id, slots }) => {
      const eventMs = this.#pace.getEventMs(id, nowMs);
      const freeSlots = slots - directory.board.getLoad(id).getRequests(nowMs);
      return eventMs === undefined ? [] : [{ id, eventMs, freeSlots }];
    });
    return decideMoves(running, free).flatMap(({ sample, engine }) => {
      const target = engines.find(({ id }) => id === engine);
      return target === undefined ? [] : [{ sample, engine: target }];
    });
  }

  /** Assigns anew only when engines or models have changed. */
  #assignHomes(
    models: readonly string[],
    engines: readonly EndpointStructure[],
  ): ReturnType<typeof assignEngines> {
    const ids = engines.map(({ id }) => id);
    const key = `${models.join()} ${ids.join()}`;
    if (key !== this.#homesKey) {
      this.#homes = assignEngines(models, ids);
      this.#homesKey = key;
    }
    return this.#homes;
  }

  #listEngines(
    lot: LotRequest,
    route: RouteStructure,
  ): readonly EndpointStructure[] {
    const { directory, clock, getTable } = this.#options;
    const { model, minVersion } = lot;
    const service = route.targets[0]?.service ?? "";
    const engines = directory.listEndpoints(service);
    const models = getTable()?.getService(service)?.models ?? [];
    const nowMs = clock.getMonotonicMs();
    const homes = this.#assignHomes(models, engines);
    return listEngines({
      engines,
      model,
      minVersion,
      home: homes.get(model) ?? new Set(),
      getRequests: (id) => directory.board.getLoad(id).getRequests(nowMs),
      isPaused: (id) => directory.board.getLoad(id).isPaused(nowMs),
    });
  }
}
