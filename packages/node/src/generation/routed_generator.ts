/**
 * Generates text on a picked engine once admission grants a slot. Every request
 * must release its slot when it ends, also if its caller stops reading.
 * @module
 */
import { computeTokenSeconds } from "@briarhill/routing/admission/admission_structure";
import type { AdmissionGate } from "./admission_gate.ts";
import { CallMetrics } from "../calls/call_metrics.ts";
import { type GenerationContext, toEngineClass } from "./generation_context.ts";
import { GenerationRun } from "./generation_run.ts";
import {
  type GenerationChunk,
  type GenerationRequest,
  Generator,
} from "./generator.ts";
import type { RunMonitor } from "./run_monitor.ts";

const CHARACTERS_PER_TOKEN = 4;

/** Generates text on a picked engine, once admission grants a slot. */
export class RoutedGenerator extends Generator {
  readonly #context: GenerationContext;
  readonly #gate: AdmissionGate;
  readonly #monitor: RunMonitor;

  constructor(
    context: GenerationContext,
    gate: AdmissionGate,
    monitor: RunMonitor,
  ) {
    super();
    this.#context = context;
    this.#gate = gate;
    this.#monitor = monitor;
  }

  override async *generate(
    generation: GenerationRequest,
    signal?: AbortSignal,
  ): AsyncIterable<GenerationChunk> {
    const startMs = this.#context.getNowMs();
    const metrics = this.#createMetrics(generation);
    const run = new GenerationRun(this.#context, generation);
    const cancel = () => {
      this.#gate.release(generation.request.requestId);
      run.cancel();
    };
    signal?.addEventListener("abort", cancel, { once: true });
    try {
      await this.#acquire(generation, run);
      const admittedMs = this.#context.getNowMs();
      metrics.record("call_queue_ms", admittedMs - startMs);
      let isFirst = true;
      for await (const chunk of run.read()) {
        if (isFirst) {
          isFirst = false;
          const nowMs = this.#context.getNowMs();
          metrics.record("call_first_token_ms", nowMs - startMs);
        }
        yield chunk;
      }
      metrics.record("call_whole_ms", this.#context.getNowMs() - startMs);
      metrics.record("call_tokens", run.getTokens());
    } catch (error) {
      metrics.recordFailure(error, this.#context.getNowMs() - startMs);
      throw error;
    } finally {
      signal?.removeEventListener("abort", cancel);
      this.#finish(generation, run, startMs);
    }
  }

  async #acquire(
    generation: GenerationRequest,
    run: GenerationRun,
  ): Promise<void> {
    const { requestClass, request, deadlineMs } = generation;
    const engineClass = toEngineClass(requestClass);
    const runMs = generation.expectedTokens *
      this.#context.pool.speeds[engineClass].getMedianMsPerToken();
    this.#context.budgets[engineClass].recordRequest();
    await this.#gate.acquire({
      id: request.requestId,
      customer: generation.customer,
      requestClass: engineClass,
      cost: this.#computeCost(generation, {
        outputTokens: generation.expectedTokens,
        runMs,
      }),
      deadlineMs,
      runMs,
    }, () => run.cancel());
    this.#monitor.add(run);
  }

  #finish(
    generation: GenerationRequest,
    run: GenerationRun,
    startMs: number,
  ): void {
    if (!run.isEnded()) {
      // The caller stopped reading before the end of the response.
      run.cancel();
    }
    const nowMs = this.#context.getNowMs();
    run.recordSpeed(nowMs);
    this.#monitor.remove(run);
    const cost = this.#computeCost(generation, {
      outputTokens: run.getTokens(),
      runMs: nowMs - startMs,
    });
    this.#gate.release(generation.request.requestId, cost);
  }

  #computeCost(
    generation: GenerationRequest,
    end: { readonly outputTokens: number; readonly runMs: number },
  ): number {
    const { prompt, prefix = "" } = generation.request;
    const promptTokens = (prompt.length + prefix.length) / CHARACTERS_PER_TOKEN;
    return computeTokenSeconds({ promptTokens, ...end });
  }

  #createMetrics(generation: GenerationRequest): CallMetrics {
    return new CallMetrics(this.#context.node.histograms, generation);
  }
}
