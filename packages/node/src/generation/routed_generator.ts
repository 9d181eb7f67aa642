/**
 * Generation on the engine that the decisions pick.
 * @module
 */
import { computeTokenSeconds } from "@briarhill/routing/admission/admission_structure";
import type { AdmissionGate } from "./admission_gate.ts";
import { CallMetrics } from "../calls/call_metrics.ts";
import { type GenerationParts, toEngineClass } from "./generation_parts.ts";
import { GenerationRun } from "./generation_run.ts";
import {
  type GenerationChunk,
  type GenerationRequest,
  Generator,
} from "./generator.ts";
import type { RunWatch } from "./run_watch.ts";

const CHARACTERS_PER_TOKEN = 4;

/** Generation on the engine that the decisions pick. */
export class RoutedGenerator extends Generator {
  readonly #parts: GenerationParts;
  readonly #gate: AdmissionGate;
  readonly #watch: RunWatch;

  constructor(
    parts: GenerationParts,
    gate: AdmissionGate,
    watch: RunWatch,
  ) {
    super();
    this.#parts = parts;
    this.#gate = gate;
    this.#watch = watch;
  }

  override async *generate(
    generation: GenerationRequest,
    signal?: AbortSignal,
  ): AsyncIterable<GenerationChunk> {
    const startMs = this.#parts.getNowMs();
    const metrics = this.#createMetrics(generation);
    const run = new GenerationRun(this.#parts, generation);
    const cancel = () => {
      this.#gate.release(generation.request.requestId);
      run.cancel();
    };
    signal?.addEventListener("abort", cancel, { once: true });
    try {
      await this.#acquire(generation, run);
      const admittedMs = this.#parts.getNowMs();
      metrics.record("call_queue_ms", admittedMs - startMs);
      let isFirst = true;
      for await (const chunk of run.read()) {
        if (isFirst) {
          isFirst = false;
          const nowMs = this.#parts.getNowMs();
          metrics.record("call_first_token_ms", nowMs - startMs);
        }
        yield chunk;
      }
      metrics.record("call_whole_ms", this.#parts.getNowMs() - startMs);
      metrics.record("call_tokens", run.getTokens());
    } catch (error) {
      metrics.recordFailure(error, this.#parts.getNowMs() - startMs);
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
      this.#parts.pool.speeds[engineClass].getMedianMsPerToken();
    this.#parts.budgets[engineClass].recordRequest();
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
    this.#watch.add(run);
  }

  #finish(
    generation: GenerationRequest,
    run: GenerationRun,
    startMs: number,
  ): void {
    if (!run.isEnded()) {
      // The caller stopped reading before the end.
      run.cancel();
    }
    const nowMs = this.#parts.getNowMs();
    run.recordSpeed(nowMs);
    this.#watch.remove(run);
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
    return new CallMetrics(this.#parts.context.histograms, generation);
  }
}
