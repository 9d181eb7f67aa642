/**
 * Simulates entry hosts, engines and traffic in virtual time.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { EnginePicker } from "@briarhill/routing/picking/engine_picker";
import { computeHostLimits } from "@briarhill/routing/shares/host_limits";
import {
  buildSums,
  computeTotal,
  NO_SUMS,
} from "@briarhill/routing/shares/share_sums";
import type { ModelCacheEvent } from "../engine_model/model_cache.ts";
import { EngineModel } from "../engine_model/engine_model.ts";
import { VirtualScheduler } from "../engine_model/virtual_scheduler.ts";
import { ModelHost } from "./model_host.ts";
import {
  buildContracts,
  drawLive,
  drawRollout,
  MODEL_ENGINE,
  MODEL_SHARES,
  type ModelRequest,
  type TrafficSettings,
} from "./traffic.ts";
import { getQuantile, type TrafficResult } from "./traffic_result.ts";

const TICK_MS = 100;
const REPORT_INTERVAL_MS = 500;
const REPORT_LAG_MS = 300;
const LATE_REPORT_LAG_MS = 2000;
const SUMS_INTERVAL_MS = 1000;
const SUMS_DELAY_MS = 500;
const BACKLOG_PER_HOST = 12;
const WARM_UP_MS = 10_000;
/** The share of cache events that are lost. */
const CACHE_EVENT_LOSS = 0.1;
const CRASH_MS = 5000;
const SLOW_FACTOR = 10;
const SLOW_MS = 15_000;

/** A simulation of entry hosts, engines and traffic in virtual time. */
export class TrafficModel {
  readonly #settings: TrafficSettings;
  readonly #scheduler = new VirtualScheduler();
  /** A separate source, so that runs with and without training get the same live calls. */
  readonly #liveRandom: SeededRandom;
  readonly #random: SeededRandom;
  readonly #engines: ReadonlyMap<string, EngineModel>;
  readonly #hosts: readonly ModelHost[];
  readonly #firstMs: number[] = [];
  readonly #completeMs: number[] = [];
  readonly #sequences = new Map<string, number>();
  readonly #trained = new Map<string, number>();
  #rollouts = 0;
  #refused = 0;
  #calls = 0;
  #ids = 0;

  constructor(settings: TrafficSettings, createPicker: () => EnginePicker) {
    this.#settings = settings;
    this.#liveRandom = new SeededRandom(settings.seed);
    this.#random = new SeededRandom(settings.seed + 1_000_000);
    this.#engines = new Map(
      Array.from({ length: settings.engines }, (_, index) => [
        `engine-${index}`,
        new EngineModel(this.#scheduler, MODEL_ENGINE),
      ]),
    );
    this.#hosts = Array.from(
      { length: settings.hosts },
      (_, index) =>
        new ModelHost({
          name: `host-${index}`,
          scheduler: this.#scheduler,
          engines: this.#engines,
          picker: createPicker(),
          observer: this.#createObserver(),
          random: new SeededRandom(settings.seed * 1000 + index),
        }),
    );
  }

  /** Runs the model for the duration of its settings. */
  run(): TrafficResult {
    this.#publishSums();
    this.#runTick();
    this.#publishReports();
    this.#scheduleLive();
    this.#scheduleFault();
    const { durationMs } = this.#settings;
    this.#scheduler.runUntil(durationMs);
    const trained = [...this.#trained.values()].reduce((a, b) => a + b, 0);
    const [customer, share] = Object.entries(MODEL_SHARES)[0] ?? ["", 0];
    const part = (this.#trained.get(customer) ?? 0) / Math.max(1, trained);
    return {
      liveCalls: this.#completeMs.length,
      refused: this.#refused,
      firstTokenP99Ms: getQuantile(this.#firstMs, 0.99),
      completeP50Ms: getQuantile(this.#completeMs, 0.5),
      completeP99Ms: getQuantile(this.#completeMs, 0.99),
      shareError: this.#settings.training ? Math.abs(part - share) : 0,
      rollouts: this.#rollouts,
    };
  }

  #createObserver() {
    const getAge = (request: ModelRequest) =>
      this.#scheduler.getNowMs() - request.arrivedMs;
    return {
      onFirstToken: (request: ModelRequest) => {
        if (isMeasured(request)) {
          this.#firstMs.push(getAge(request));
        }
      },
      onEnd: (request: ModelRequest, outcome: "finished" | "refused") => {
        if (request.requestClass === "rollout") {
          this.#rollouts++;
          const { customer, outputTokens, promptTokens } = request;
          const before = this.#trained.get(customer) ?? 0;
          this.#trained.set(customer, before + outputTokens + promptTokens);
        } else if (outcome === "refused") {
          this.#refused++;
        } else if (isMeasured(request)) {
          this.#completeMs.push(getAge(request));
        }
      },
    };
  }

  #scheduleLive(): void {
    const meanMs = 1000 / this.#settings.livePerSecond;
    const random = this.#liveRandom;
    this.#scheduler.schedule(random.getExponential(meanMs), () => {
      const host = random.getItem(this.#hosts);
      const arrivedMs = this.#scheduler.getNowMs();
      const id = `live-${this.#calls++}`;
      host?.admit(drawLive(random, { id, arrivedMs }));
      this.#scheduleLive();
    });
  }

  #scheduleFault(): void {
    const { fault, durationMs } = this.#settings;
    const engine = this.#engines.get("engine-0");
    if (fault === "crash") {
      this.#scheduler.schedule(durationMs / 3, () => engine?.stop());
      this.#scheduler.schedule(
        durationMs / 3 + CRASH_MS,
        () => engine?.start(),
      );
    } else if (fault === "slow") {
      this.#scheduler.schedule(
        durationMs / 3,
        () => engine?.setSlowdown(SLOW_FACTOR),
      );
      this.#scheduler.schedule(
        durationMs / 3 + SLOW_MS,
        () => engine?.setSlowdown(1),
      );
    }
  }

  /** Refills the training queue of each host and advances admission to the current time. */
  #runTick(): void {
    const arrivedMs = this.#scheduler.getNowMs();
    for (const host of this.#hosts) {
      for (const usage of host.admission.getUsage()) {
        const missing = this.#settings.training
          ? BACKLOG_PER_HOST - usage.rolloutsQueued
          : 0;
        for (let count = 0; count < missing; count++) {
          const id = `rollout-${this.#ids++}`;
          const { customer } = usage;
          host.admit(drawRollout(this.#random, { id, customer, arrivedMs }));
        }
      }
      host.apply(host.admission.advance(arrivedMs));
    }
    this.#scheduler.schedule(TICK_MS, () => this.#runTick());
  }

  #publishReports(): void {
    const measuredMs = this.#scheduler.getNowMs();
    const isLate = this.#settings.fault === "late-reports";
    const lagMs = isLate ? LATE_REPORT_LAG_MS : REPORT_LAG_MS;
    const loads = [...this.#engines]
      .filter(([, engine]) => engine.isUp())
      .map(([id, engine]) => ({ id, measuredMs, ...engine.getLoad() }));
    const events = this.#takeCacheEvents();
    this.#hosts.forEach((host) => host.recordSpeeds());
    this.#scheduler.schedule(lagMs, () => {
      for (const host of this.#hosts) {
        loads.forEach((load) => host.reports.set(load.id, load));
        host.throttle.applyReports(loads);
        events.forEach((fresh, id) => host.applyCacheEvents(id, fresh));
      }
    });
    this.#scheduler.schedule(REPORT_INTERVAL_MS, () => this.#publishReports());
  }

  /** Returns the new cache events of the engines, less those that are lost. */
  #takeCacheEvents(): ReadonlyMap<string, readonly ModelCacheEvent[]> {
    const taken = new Map<string, readonly ModelCacheEvent[]>();
    for (const [id, engine] of this.#engines) {
      const events = engine.listCacheEvents(this.#sequences.get(id) ?? -1);
      const last = events.at(-1)?.sequence;
      this.#sequences.set(id, last ?? this.#sequences.get(id) ?? -1);
      taken.set(
        id,
        events.filter(() => this.#random.getFloat() >= CACHE_EVENT_LOSS),
      );
    }
    return taken;
  }

  #publishSums(): void {
    const sums = this.#hosts.map(({ admission, need }) =>
      buildSums(admission.getUsage(), need)
    );
    const total = computeTotal(sums);
    const apply = () =>
      this.#hosts.forEach((host, index) => {
        const nowMs = this.#scheduler.getNowMs();
        const { limits, ...need } = computeHostLimits({
          contracts: buildContracts(this.#settings.liveFloor),
          totalSlots: this.#engines.size * (MODEL_ENGINE.slots ?? 0),
          hosts: this.#hosts.length,
          local: sums[index] ?? NO_SUMS,
          total,
          trainingShare: host.throttle.share,
        });
        host.need = need;
        host.apply(host.admission.setLimits(limits, nowMs));
      });
    if (this.#scheduler.getNowMs() === 0) {
      apply();
    }
    this.#scheduler.schedule(SUMS_DELAY_MS, apply);
    this.#scheduler.schedule(
      SUMS_INTERVAL_MS,
      () => this.#publishSums(),
    );
  }
}

function isMeasured(request: ModelRequest): boolean {
  return request.requestClass === "live" && request.arrivedMs >= WARM_UP_MS;
}
