/**
 * The engines that this host sends to, and what it has found of them.
 * @module
 */
import type { EndpointId, RequestClass } from "@briarhill/common/ids/ids";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import type { Engine } from "@briarhill/ports/engine/engine";
import type {
  EngineCandidate,
  PickRequest,
} from "@briarhill/routing/picking/engine_candidate";
import type { EnginePicker } from "@briarhill/routing/picking/engine_picker";
import { InFlightLedger } from "@briarhill/routing/picking/in_flight_ledger";
import type { PrefixIndex } from "@briarhill/routing/picking/prefix_index";
import { OutlierEjector } from "@briarhill/routing/retries/outlier_ejector";
import { SpeedTracker } from "@briarhill/routing/retries/speed_tracker";
import type {
  EndpointDirectory,
  KnownEndpoint,
} from "../endpoints/endpoint_directory.ts";
import { toEngineClass } from "./generation_parts.ts";

/** What an engine that has not reported yet is taken to have. */
const DEFAULT_SLOTS = 8;
const NEAR_ROUND_TRIP_MS = 1;
const FAR_ROUND_TRIP_MS = 3;
const OTHER_REGION_ROUND_TRIP_MS = 100;

/** What an engine pool works with. */
export interface EnginePoolParts {
  readonly directory: EndpointDirectory;
  readonly prefixes: PrefixIndex;
  readonly picker: EnginePicker;
  readonly clock: Clock;
  readonly random: SeededRandom;
  readonly self: { readonly failureDomain: string; readonly region: string };
}

/** The engines that this host sends to, and what it has found of them. */
export class EnginePool {
  /** Engines pause training for live calls: each class has speeds of its own. */
  readonly speeds: Readonly<Record<"live" | "rollout", SpeedTracker>> = {
    live: new SpeedTracker(),
    rollout: new SpeedTracker(),
  };
  readonly #parts: EnginePoolParts;
  readonly #inFlight = new InFlightLedger();
  readonly #ejector = new OutlierEjector();

  constructor(parts: EnginePoolParts) {
    this.#parts = parts;
  }

  /**
   * Picks an engine for a request.
   *
   * @param request - What the request asks for.
   */
  pick(request: PickRequest): EndpointId | undefined {
    const { picker, prefixes, random, clock } = this.#parts;
    const nowMs = clock.getMonotonicMs();
    const speeds = this.speeds[toEngineClass(request.requestClass)];
    const context = {
      candidates: this.#listUsable().map((known) =>
        this.#toCandidate(known, { speeds, nowMs })
      ),
      inFlight: this.#inFlight,
      prefixes,
      medianMsPerToken: speeds.getMedianMsPerToken(),
      nowMs,
      random,
    };
    return picker.pick(request, context)?.id;
  }

  /**
   * Returns the client of an engine.
   *
   * @param id - The engine.
   */
  getEngine(id: EndpointId): Engine | undefined {
    return this.#parts.directory.getEngine(id);
  }

  /**
   * Records a request that is sent.
   *
   * @param id - The engine.
   * @param request - Its class and its prefix.
   */
  recordStart(
    id: EndpointId,
    request: {
      readonly requestClass: RequestClass;
      readonly prefixHash: string;
    },
  ): void {
    const nowMs = this.#parts.clock.getMonotonicMs();
    const { requestClass, prefixHash } = request;
    this.#inFlight.recordStart(id, { requestClass, nowMs });
    this.#parts.prefixes.recordSent(id, { prefixHash, nowMs });
  }

  /**
   * Records the end of a request, whatever it was.
   *
   * @param id - The engine.
   * @param requestClass - The request's class.
   */
  recordEnd(id: EndpointId, requestClass: RequestClass): void {
    const nowMs = this.#parts.clock.getMonotonicMs();
    this.#inFlight.recordEnd(id, { requestClass, nowMs });
  }

  /**
   * Records an answer without fault.
   *
   * @param id - The engine.
   */
  recordSuccess(id: EndpointId): void {
    this.#ejector.recordSuccess(id, this.#parts.clock.getMonotonicMs());
  }

  /**
   * Records a fault that is the engine's own.
   *
   * @param id - The engine.
   */
  recordFailure(id: EndpointId): void {
    const nowMs = this.#parts.clock.getMonotonicMs();
    const total = this.#listUsable().length;
    this.#ejector.recordFailure(id, { nowMs, total });
  }

  #listUsable(): readonly KnownEndpoint[] {
    return this.#parts.directory.getEndpoints().filter(({ listed, leaving }) =>
      listed.kind === "engine" && !leaving
    );
  }

  #toCandidate(
    known: KnownEndpoint,
    options: { readonly speeds: SpeedTracker; readonly nowMs: number },
  ): EngineCandidate {
    const { speeds, nowMs } = options;
    const { listed, load, loadAsOfMs, state } = known;
    const { id, failureDomain } = listed;
    return {
      id,
      failureDomain,
      role: state?.role ?? "mixed",
      models: state?.models ??
        listed.models.map((model) => ({ model, version: 0, adapters: [] })),
      slots: load?.slots ?? DEFAULT_SLOTS,
      roundTripMs: this.#getRoundTripMs(known),
      report: load === undefined || loadAsOfMs === undefined ? undefined : {
        asOfMs: loadAsOfMs,
        running: load.running,
        queued: load.queued,
      },
      msPerToken: speeds.getMsPerToken(id, nowMs),
      pickShare: this.#ejector.getPickShare(id, nowMs),
    };
  }

  #getRoundTripMs({ listed }: KnownEndpoint): number {
    const { failureDomain, region } = this.#parts.self;
    if (listed.region !== region) {
      return OTHER_REGION_ROUND_TRIP_MS;
    }
    return listed.failureDomain === failureDomain
      ? NEAR_ROUND_TRIP_MS
      : FAR_ROUND_TRIP_MS;
  }
}
