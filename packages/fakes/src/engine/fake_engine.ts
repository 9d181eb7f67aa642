/**
 * A stand-in for a model engine, in memory.
 * @module
 */
import type { RequestId } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import { ChunkSequence } from "@briarhill/ports/engine/chunk_sequence";
import {
  type CacheEvent,
  Engine,
  type EngineOrder,
  type EngineState,
  type GenerateChunk,
  type GenerateRequest,
  type LoadReport,
} from "@briarhill/ports/engine/engine";
import { type Fault, isAnswerFault } from "../faults/fault.ts";
import { FaultPlan } from "../faults/fault_plan.ts";
import { createRejection } from "../faults/rejection.ts";
import { LaggedValue } from "../time/lagged_value.ts";
import type { FakeWeightStore } from "../weights/fake_weight_store.ts";
import { FakeBatch } from "./fake_batch.ts";
import {
  DEFAULT_ENGINE_SETTINGS,
  type FakeEngineSettings,
} from "./fake_engine_settings.ts";
import { FakeModels, type ReceivedOrder } from "./fake_models.ts";
import { FakePrefixCache } from "./fake_prefix_cache.ts";
import type { FakeStream } from "./fake_stream.ts";
import { FakeStreams, type ReceivedRequest } from "./fake_streams.ts";
import { addStreamFault } from "./stream_fault.ts";

/** What a stand-in engine depends on. */
export interface FakeEngineContext {
  readonly clock: Clock;
  readonly store: FakeWeightStore;
}

/** A stand-in for a model engine. */
export class FakeEngine extends Engine {
  readonly faults: FaultPlan;
  readonly settings: FakeEngineSettings;
  readonly #clock: Clock;
  readonly #models: FakeModels;
  readonly #batch: FakeBatch;
  readonly #load: LaggedValue<LoadReport>;
  readonly #streams: FakeStreams;
  #cache: FakePrefixCache;
  #incarnation = 1;
  #leaving = false;

  constructor(
    context: FakeEngineContext,
    settings: Partial<FakeEngineSettings> = {},
  ) {
    super();
    const { clock, store } = context;
    this.#clock = clock;
    this.settings = { ...DEFAULT_ENGINE_SETTINGS, ...settings };
    this.faults = new FaultPlan("engine", clock);
    this.#models = new FakeModels({
      clock,
      store,
      settings: this.settings,
      faults: this.faults,
    });
    this.#cache = new FakePrefixCache(clock, this.settings);
    this.#batch = new FakeBatch(clock, this.settings, {
      getVersion: ({ request }) =>
        this.#models.getVersionOrThrow(request.model),
      getPrefillMs: (stream) => this.#getPrefillMs(stream),
      onChange: () => this.#load.set(this.#measureLoad()),
    });
    this.#streams = new FakeStreams(clock, this.settings, this.#batch);
    const { loadReportLagMs } = this.settings;
    this.#load = new LaggedValue(clock, loadReportLagMs, this.#measureLoad());
  }

  /** Returns the requests in the order of their arrival. */
  getReceived(): readonly ReceivedRequest[] {
    return this.#streams.getReceived();
  }

  /** Returns the orders in the order of their arrival. */
  getOrders(): readonly ReceivedOrder[] {
    return this.#models.getOrders();
  }

  /** Says from now on that the engine is leaving; it still runs what it gets. */
  setLeaving(): void {
    this.#leaving = true;
    this.#load.set(this.#measureLoad());
  }

  /** Crashes and starts anew: streams, cache, loaded weights and fencing are lost. */
  startAnew(): void {
    this.stop();
    this.#models.clear();
    this.#cache = new FakePrefixCache(this.#clock, this.settings);
    this.#incarnation++;
    this.#leaving = false;
    this.#load.set(this.#measureLoad());
  }

  /** Stops all work and all timers. */
  stop(): void {
    this.#batch.stop();
    this.#streams.clear();
  }

  override async *generate(
    request: GenerateRequest,
    signal?: AbortSignal,
  ): AsyncIterable<GenerateChunk> {
    const sequence = new ChunkSequence(request);
    const stop = () => void this.cancel(request.requestId);
    signal?.addEventListener("abort", stop, { once: true });
    let failed = false;
    try {
      for await (const chunk of this.generateUnchecked(request)) {
        const next = sequence.apply(chunk);
        if (next !== undefined) {
          yield next;
        }
      }
      sequence.throwIfUnfinished();
    } catch (error) {
      failed = true;
      throw error;
    } finally {
      signal?.removeEventListener("abort", stop);
      if (!failed && !sequence.isFinished()) {
        stop();
      }
    }
  }

  /**
   * Generates text as the engine itself sends it, faults and all. A stream
   * that is no longer read runs on for a while and can be resumed.
   *
   * @param request - What to generate.
   */
  async *generateUnchecked(
    request: GenerateRequest,
  ): AsyncIterable<GenerateChunk> {
    const fault = this.faults.draw("generate");
    if (fault !== undefined && fault.afterChunks === undefined) {
      await this.#clock.sleep(fault.delayMs ?? 0);
      if (isThrownBefore(fault)) {
        throw this.faults.createError(fault, false);
      }
    }
    this.#models.getVersionOrThrow(request.model);
    const stream = this.#streams.open(request, this.#leaving);
    const chunks = stream.read(request.fromToken);
    if (fault !== undefined && isAnswerFault(fault)) {
      await this.faults.applyAnswerFault(fault);
      return yield* chunks;
    }
    yield* fault === undefined || fault.kind === "slow"
      ? chunks
      : addStreamFault(chunks, { fault, plan: this.faults });
  }

  override async cancel(requestId: RequestId): Promise<void> {
    await this.faults.run("cancel", () => this.#streams.cancel(requestId));
  }

  override getLoad(): Promise<LoadReport> {
    return this.faults.run("getLoad", () => {
      this.#load.set(this.#measureLoad());
      return this.#load.get();
    });
  }

  override getState(): Promise<EngineState> {
    return this.faults.run("getState", () => this.#measureState());
  }

  override order(order: EngineOrder): Promise<EngineState> {
    return this.faults.run("order", async () => {
      await this.#models.apply(order);
      return this.#measureState();
    });
  }

  override getCacheEvents(after: number): Promise<readonly CacheEvent[]> {
    return this.faults.run(
      "getCacheEvents",
      () => this.#cache.getEvents(after),
    );
  }

  override exportKv(requestId: RequestId): Promise<string> {
    return this.faults.run("exportKv", () => {
      const stream = this.#streams.get(requestId);
      if (stream === undefined) {
        throw createRejection(`no request "${requestId}" here`, {
          port: "engine",
          operation: "exportKv",
        });
      }
      return `kv:${this.settings.id}:${requestId}:${stream.getNext()}`;
    });
  }

  #getPrefillMs(stream: FakeStream): number {
    const { prompt, prefix, kvReference } = stream.request;
    const missing = this.#cache.add(prompt + (prefix ?? ""));
    const isImported = kvReference?.startsWith("kv:") ?? false;
    return isImported ? 0 : missing * this.settings.prefillMsPerToken;
  }

  #measureLoad(): LoadReport {
    return {
      endpoint: this.settings.id,
      incarnation: this.#incarnation,
      measuredAtMs: this.#clock.getWallMs(),
      running: this.#batch.countRunning(),
      queued: this.#batch.countQueued(),
      slots: this.settings.slots,
      kvUsed: this.#cache.getUsed(),
      tokensPerSecond: this.#batch.getTokensPerSecond(),
      leaving: this.#leaving,
    };
  }

  #measureState(): EngineState {
    return {
      endpoint: this.settings.id,
      incarnation: this.#incarnation,
      role: this.#models.role,
      models: this.#models.getStates(),
      leaving: this.#leaving,
    };
  }
}

function isThrownBefore(fault: Fault): boolean {
  return fault.when !== "after" && fault.kind !== "slow" &&
    !isAnswerFault(fault);
}
