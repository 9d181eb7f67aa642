/**
 * Simulates one entry host of the routing bench with the production code of
 * admission, picking and retries.
 * @module
 */
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import { Admission } from "@briarhill/routing/admission/admission";
import type { AdmissionCommand } from "@briarhill/routing/admission/admission_structure";
import type {
  EngineCandidate,
  PickRequest,
} from "@briarhill/routing/picking/engine_candidate";
import type { EnginePicker } from "@briarhill/routing/picking/engine_picker";
import { InFlightLedger } from "@briarhill/routing/picking/in_flight_ledger";
import {
  type PrefixEvent,
  PrefixIndex,
} from "@briarhill/routing/picking/prefix_index";
import { OutlierEjector } from "@briarhill/routing/retries/outlier_ejector";
import { SpeedTracker } from "@briarhill/routing/retries/speed_tracker";
import { type HostNeed, NO_SUMS } from "@briarhill/routing/shares/share_sums";
import { TrainingThrottle } from "@briarhill/routing/shares/training_throttle";
import type { EngineJobResult } from "../engine_model/engine_job.ts";
import type { EngineModel } from "../engine_model/engine_model.ts";
import type { VirtualScheduler } from "../engine_model/virtual_scheduler.ts";
import type { HostObserver, ModelReport } from "./host_observer.ts";
import type { ModelRequest } from "./traffic.ts";

const ROUND_TRIP_MS = 2;
const PRIORITIES = { live: 80, rollout: 20 };

interface OpenRequest {
  readonly request: ModelRequest;
  engine: string;
  fromToken: number;
  /** The token count and the time of the last observation of the stream's speed. */
  observedTokens: number;
  observedMs: number;
}

/** An entry host that admits requests, picks engine models for them and retries. */
export class ModelHost {
  readonly admission = new Admission();
  need: HostNeed = NO_SUMS;
  readonly throttle = new TrainingThrottle();
  readonly reports = new Map<string, ModelReport>();
  readonly name: string;
  readonly #scheduler: VirtualScheduler;
  readonly #engines: ReadonlyMap<string, EngineModel>;
  readonly #picker: EnginePicker;
  readonly #observer: HostObserver;
  readonly #random: SeededRandom;
  readonly #openRequests = new Map<string, OpenRequest>();
  readonly #inFlight = new InFlightLedger();
  readonly #prefixes = new PrefixIndex();
  readonly #ejector = new OutlierEjector();
  readonly #speeds = new SpeedTracker();

  constructor(options: {
    readonly name: string;
    readonly scheduler: VirtualScheduler;
    readonly engines: ReadonlyMap<string, EngineModel>;
    readonly picker: EnginePicker;
    readonly observer: HostObserver;
    readonly random: SeededRandom;
  }) {
    this.name = options.name;
    this.#scheduler = options.scheduler;
    this.#engines = options.engines;
    this.#picker = options.picker;
    this.#observer = options.observer;
    this.#random = options.random;
  }

  /**
   * Submits a request to admission.
   *
   * @param request - The request.
   * @param fromToken - The number of tokens that are generated already.
   */
  admit(request: ModelRequest, fromToken = 0): void {
    const nowMs = this.#scheduler.getNowMs();
    this.#openRequests.set(request.id, {
      request,
      engine: "",
      fromToken,
      observedTokens: fromToken,
      observedMs: Infinity,
    });
    const runMs = request.outputTokens * this.#speeds.getMedianMsPerToken();
    this.apply(this.admission.admit({
      id: request.id,
      customer: request.customer,
      requestClass: request.requestClass,
      cost: request.outputTokens,
      deadlineMs: request.requestClass === "live" ? nowMs + 30_000 : Infinity,
      runMs,
    }, nowMs));
  }

  /** Records the speed of all open streams, as a real host does from their chunks. */
  recordSpeeds(): void {
    for (const open of this.#openRequests.values()) {
      const tokens = this.#engines.get(open.engine)?.getTokens(open.request.id);
      if (tokens !== undefined && Number.isFinite(open.observedMs)) {
        this.#recordSpeed(open, tokens);
      }
    }
  }

  /**
   * Applies the cache events of an engine, which arrive late and with gaps.
   *
   * @param engine - The id of the engine.
   * @param events - The events.
   */
  applyCacheEvents(engine: string, events: readonly PrefixEvent[]): void {
    const nowMs = this.#scheduler.getNowMs();
    this.#prefixes.applyEvents(engine, { events, nowMs });
  }

  /**
   * Executes the commands of admission.
   *
   * @param commands - The commands.
   */
  apply(commands: readonly AdmissionCommand[]): void {
    for (const command of commands) {
      const open = this.#openRequests.get(command.id);
      if (open === undefined) {
        continue;
      }
      if (command.kind === "start") {
        this.#sendNext(open, []);
      } else if (command.kind === "cancel") {
        this.#engines.get(open.engine)?.cancelJob(command.id);
      } else {
        this.#openRequests.delete(command.id);
        this.#observer.onEnd(open.request, "refused");
      }
    }
  }

  #sendNext(open: OpenRequest, excluded: readonly string[]): void {
    const { request } = open;
    const nowMs = this.#scheduler.getNowMs();
    const picked = this.#picker.pick(buildPick(request, excluded), {
      candidates: this.#buildCandidates(nowMs),
      inFlight: this.#inFlight,
      prefixes: this.#prefixes,
      medianMsPerToken: this.#speeds.getMedianMsPerToken(),
      nowMs,
      random: this.#random,
    });
    open.engine = picked?.id ?? excluded[0] ?? "";
    open.observedMs = Infinity;
    const { requestClass, prefixHash } = request;
    this.#inFlight.recordStart(open.engine, { requestClass, nowMs });
    this.#prefixes.recordSent(open.engine, { prefixHash, nowMs });
    this.#scheduler.schedule(ROUND_TRIP_MS, () => this.#addJob(open));
  }

  #addJob(open: OpenRequest): void {
    const { request, fromToken } = open;
    this.#engines.get(open.engine)?.addJob({
      id: request.id,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      priority: PRIORITIES[request.requestClass],
      fromToken,
      ...(request.prefixHash === "" ? {} : {
        prefix: { hash: request.prefixHash, tokens: request.prefixTokens },
      }),
    }, {
      onFirstToken: () => {
        open.observedMs = this.#scheduler.getNowMs();
        open.observedTokens = fromToken + 1;
        this.#observer.onFirstToken(request, open.observedMs);
      },
      onEnd: (result) => this.#handleEnd(open, result),
    });
  }

  #handleEnd(open: OpenRequest, result: EngineJobResult): void {
    const { request, engine } = open;
    const nowMs = this.#scheduler.getNowMs();
    const { requestClass } = request;
    this.#inFlight.recordEnd(engine, { requestClass, nowMs });
    if (result.outcome === "broken") {
      open.fromToken = result.tokens;
      const total = this.#engines.size;
      this.#ejector.recordFailure(engine, { nowMs, total });
      this.#sendNext(open, [engine]);
      return;
    }
    this.#recordSpeed(open, result.tokens);
    this.#openRequests.delete(request.id);
    if (result.outcome === "cancelled") {
      this.admit(request, result.tokens);
      return;
    }
    this.#ejector.recordSuccess(engine, nowMs);
    this.#observer.onEnd(request, "finished");
    this.apply(this.admission.release(request.id, { nowMs }));
  }

  #recordSpeed(open: OpenRequest, tokens: number): void {
    const nowMs = this.#scheduler.getNowMs();
    const elapsedMs = nowMs - open.observedMs;
    const addedTokens = tokens - open.observedTokens;
    if (elapsedMs > 0) {
      this.#speeds.recordTokens(open.engine, {
        tokens: Math.max(1, addedTokens),
        elapsedMs,
        nowMs,
      });
    }
    open.observedMs = nowMs;
    open.observedTokens = tokens;
  }

  #buildCandidates(nowMs: number): readonly EngineCandidate[] {
    return [...this.#engines].map(([id, engine]) => {
      const report = this.reports.get(id);
      return {
        id,
        failureDomain: "a",
        role: "mixed",
        models: [{ model: "names", version: 1, adapters: [] }],
        slots: engine.settings.slots,
        roundTripMs: ROUND_TRIP_MS,
        report: report && { ...report, asOfMs: report.measuredMs },
        msPerToken: this.#speeds.getMsPerToken(id, nowMs),
        pickShare: this.#ejector.getPickShare(id, nowMs),
      };
    });
  }
}

function buildPick(
  request: ModelRequest,
  excluded: readonly string[],
): PickRequest {
  return {
    model: "names",
    requestClass: request.requestClass,
    prefixHash: request.prefixHash,
    excluded,
  };
}
