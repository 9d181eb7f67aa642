/**
 * Picks engines for samples and records the speed of each engine.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import { listAvailableEngines } from "@briarhill/rollout/dispatch/engine_choice";
import {
  decideMoves,
  type MoveReason,
  type RunningAttempt,
} from "@briarhill/rollout/dispatch/straggler_policy";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { EndpointAdmission } from "../limits/endpoint_admission.ts";
import type { ReachMonitor } from "../reach/reach_monitor.ts";
import { EngineObserver } from "./engine_observer.ts";

/** Options of an `EnginePicker`. */
export interface EnginePickerOptions {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  readonly failureDomain: string;
  readonly admission: EndpointAdmission;
  readonly reach: ReachMonitor;
}

/** A move of a running sample to another engine. */
export interface EngineMove {
  readonly sample: string;
  readonly engine: EndpointStructure;
  readonly reason: MoveReason;
}

/** Picks engines for samples. */
export class EnginePicker {
  /** What this host has observed of the engines. */
  readonly observer: EngineObserver;
  readonly #options: EnginePickerOptions;

  constructor(options: EnginePickerOptions) {
    this.#options = options;
    this.observer = new EngineObserver(options);
  }

  /**
   * Returns the engine for a sample of a lot, or undefined if no engine
   * has capacity and the sample has to wait.
   *
   * @param lot - The lot.
   * @param route - The route of the lot.
   * @param softwareVersion - The software version at which the sample must go on; undefined for any.
   */
  pickEngine(
    lot: LotRequest,
    { route, softwareVersion }: {
      readonly route: RouteStructure;
      readonly softwareVersion: string | undefined;
    },
  ): EndpointStructure | undefined {
    const { directory, clock, failureDomain } = this.#options;
    return directory.endpointPicker.pickEndpoint({
      candidates: this.#listEngines(lot, route).filter((engine) =>
        softwareVersion === undefined ||
        engine.softwareVersion === softwareVersion
      ),
      tried: new Set(),
      failureDomain,
      nowMs: clock.getMonotonicMs(),
    });
  }

  /**
   * Returns the running samples that should continue on other engines.
   *
   * @param running - The running samples of a lot.
   * @param lot - The lot.
   * @param route - The route of the lot.
   */
  decideMoves(
    running: readonly RunningAttempt[],
    lot: LotRequest,
    route: RouteStructure,
  ): readonly EngineMove[] {
    if (running.length === 0) {
      return [];
    }
    const { clock, directory, admission } = this.#options;
    const nowMs = clock.getMonotonicMs();
    this.observer.addRunning(running, nowMs);
    // A move is optional; the permits of an engine with a limit are for samples that wait.
    const engines = this.#listEngines(lot, route).filter((engine) =>
      !admission.isLimited(engine)
    );
    const listCandidates = (version: string) =>
      engines.flatMap(({ id, slots, softwareVersion }) => {
        const eventMs = this.observer.eventTimes.getEventMs(id, nowMs);
        const freeSlots = slots -
          directory.endpointPicker.getLoad(id).getRequests(nowMs);
        return eventMs === undefined || softwareVersion !== version
          ? []
          : [{ id, eventMs, freeSlots }];
      });
    const versions = new Set(
      running.map(({ softwareVersion }) => softwareVersion),
    );
    const moves = [...versions].flatMap((version) =>
      decideMoves(
        running.filter(({ softwareVersion }) => softwareVersion === version),
        listCandidates(version),
      )
    );
    return moves.flatMap(({ sample, engine, reason }) => {
      const target = engines.find(({ id }) => id === engine);
      return target === undefined ? [] : [{ sample, engine: target, reason }];
    });
  }

  /**
   * Returns whether an engine of the route has a software version, available or not.
   *
   * @param softwareVersion - The software version.
   * @param route - The route of the lot.
   */
  hasSoftwareVersion(softwareVersion: string, route: RouteStructure): boolean {
    return this.#options.directory.listEndpoints(
      route.targets[0]?.service ?? "",
    )
      .some((engine) => engine.softwareVersion === softwareVersion);
  }

  #listEngines(
    lot: LotRequest,
    route: RouteStructure,
  ): readonly EndpointStructure[] {
    const { directory, clock, admission, reach } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const service = route.targets[0]?.service ?? "";
    if (!reach.canSend(service)) {
      return [];
    }
    return listAvailableEngines({
      engines: directory.listEndpoints(service)
        .filter((engine) => admission.isAvailable(engine)),
      model: lot.model,
      minVersion: lot.minVersion,
      getUtilization: (id) => {
        const load = directory.endpointPicker.getLoad(id);
        return {
          requests: load.getRequests(nowMs),
          unanswered: load.unanswered,
          isPaused: load.isPaused(nowMs),
        };
      },
    });
  }
}
