/**
 * Tracks the engines that this host can send generations to: requests in
 * flight, speed, failures and prefix caches, from which an engine is picked.
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
import { toEngineClass } from "./generation_context.ts";

/** Number of slots assumed for an engine without a load report. */
const DEFAULT_SLOTS = 8;
const SAME_DOMAIN_ROUND_TRIP_MS = 1;
const OTHER_DOMAIN_ROUND_TRIP_MS = 3;
const OTHER_REGION_ROUND_TRIP_MS = 100;

/** Options of an {@link EnginePool}. */
export interface EnginePoolOptions {
  readonly directory: EndpointDirectory;
  readonly prefixes: PrefixIndex;
  readonly picker: EnginePicker;
  readonly clock: Clock;
  readonly random: SeededRandom;
  /** Failure domain and region of this host. */
  readonly local: { readonly failureDomain: string; readonly region: string };
}

/** Engines that this host can send generations to, with its observations of them. */
export class EnginePool {
  /** Speeds per class, as engines pause training for live calls. */
  readonly speeds: Readonly<Record<"live" | "rollout", SpeedTracker>> = {
    live: new SpeedTracker(),
    rollout: new SpeedTracker(),
  };
  readonly #options: EnginePoolOptions;
  readonly #inFlight = new InFlightLedger();
  readonly #ejector = new OutlierEjector();

  constructor(options: EnginePoolOptions) {
    this.#options = options;
  }

  /**
   * Picks an engine for a request. Returns undefined if none can serve it.
   *
   * @param request - The requirements of the request.
   */
  pick(request: PickRequest): EndpointId | undefined {
    const { picker, prefixes, random, clock } = this.#options;
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
   * Returns the client of an engine, or undefined if the engine is not in the directory.
   *
   * @param id - The engine.
   */
  getEngine(id: EndpointId): Engine | undefined {
    return this.#options.directory.getEngine(id);
  }

  /**
   * Records the start of a request.
   *
   * @param id - The engine.
   * @param request - The request's class and the hash of its prefix.
   */
  recordStart(
    id: EndpointId,
    request: {
      readonly requestClass: RequestClass;
      readonly prefixHash: string;
    },
  ): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const { requestClass, prefixHash } = request;
    this.#inFlight.recordStart(id, { requestClass, nowMs });
    this.#options.prefixes.recordSent(id, { prefixHash, nowMs });
  }

  /**
   * Records the end of a request, regardless of its result.
   *
   * @param id - The engine.
   * @param requestClass - The request's class.
   */
  recordEnd(id: EndpointId, requestClass: RequestClass): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#inFlight.recordEnd(id, { requestClass, nowMs });
  }

  /**
   * Records a complete response.
   *
   * @param id - The engine.
   */
  recordSuccess(id: EndpointId): void {
    this.#ejector.recordSuccess(id, this.#options.clock.getMonotonicMs());
  }

  /**
   * Records a failure that the engine is responsible for.
   *
   * @param id - The engine.
   */
  recordFailure(id: EndpointId): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const total = this.#listUsable().length;
    this.#ejector.recordFailure(id, { nowMs, total });
  }

  #listUsable(): readonly KnownEndpoint[] {
    return this.#options.directory.getEndpoints().filter((
      { listed, leaving },
    ) => listed.kind === "engine" && !leaving);
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
    const { failureDomain, region } = this.#options.local;
    if (listed.region !== region) {
      return OTHER_REGION_ROUND_TRIP_MS;
    }
    return listed.failureDomain === failureDomain
      ? SAME_DOMAIN_ROUND_TRIP_MS
      : OTHER_DOMAIN_ROUND_TRIP_MS;
  }
}
