/**
 * The samples of a lot that engines are working on.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { RunningSample } from "@briarhill/rollout/dispatch/straggler_policy";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { EndpointSender } from "../calls/endpoint_sender.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { EnginePicker } from "./engine_picker.ts";
import type { GenerationReport } from "./generation_report.ts";
import { runGeneration } from "./sample_generation.ts";

/** A run is expected to be at least this long, in events. */
const MIN_EXPECTED_EVENTS = 8;
/** How often stragglers are looked for, in milliseconds; some three events. */
const MOVES_EVERY_MS = 100;
/** The longest run of a sample at one engine, in milliseconds. */
const RUN_BOUND_MS = 15_000;

/** The urgency of requests that say nothing; a lower one would put runs of others back. */
const USUAL_URGENCY = 5;

/** What runs need. */
export interface RunningSamplesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly sender: EndpointSender;
  readonly picker: EnginePicker;
  readonly metrics: HostMetrics;
}

/** One run of a sample at an engine. */
interface SampleRun {
  readonly task: SampleTask;
  readonly endpoint: EndpointStructure;
  readonly startedAtMs: number;
  /** The events that the sample had before. */
  readonly startEvents: number;
  /** How often it was moved before. */
  readonly moves: number;
  readonly abort: AbortController;
}

/** The samples of a lot that engines are working on. */
export class RunningSamples {
  readonly #options: RunningSamplesOptions;
  readonly #lot: LedgerLot;
  readonly #runs = new Map<string, SampleRun>();
  /** Where runs that were ended for a move go on. */
  readonly #targets = new Map<string, EndpointStructure>();
  #hasEnded = false;
  #nextMovesAtMs = 0;

  constructor(options: RunningSamplesOptions, lot: LedgerLot) {
    this.#options = options;
    this.#lot = lot;
  }

  /**
   * Runs a sample, at other engines too where it is moved.
   *
   * @param task - The sample.
   * @param endpoint - The first engine.
   */
  async runSample(
    task: SampleTask,
    endpoint: EndpointStructure,
  ): Promise<GenerationReport> {
    let engine = endpoint;
    for (let moves = 0;; moves++) {
      const report = await this.#runOnce(task, engine, moves);
      const target = this.#takeTarget(task);
      const isMoved = report.end === "cancelled" && !this.#hasEnded;
      if (target === undefined || !isMoved) {
        return report;
      }
      engine = target;
    }
  }

  /**
   * Moves samples from slow engines to faster ones.
   *
   * @param route - The route of the lot.
   * @param nowMs - The time, on the monotonic clock.
   */
  advanceMoves(route: RouteStructure, nowMs: number): void {
    if (nowMs < this.#nextMovesAtMs) {
      return;
    }
    this.#nextMovesAtMs = nowMs + MOVES_EVERY_MS;
    const { picker, logger } = this.#options;
    const { request } = this.#lot;
    const running = this.#listMovable(nowMs);
    for (
      const { sample, engine } of picker.decideMoves(running, request, route)
    ) {
      logger.info("sample-moved", {
        lot: request.id,
        sample,
        endpoint: engine.id,
      });
      this.#targets.set(sample, engine);
      this.abortRun(sample);
    }
  }

  /**
   * Ends the run of a sample, if there is one.
   *
   * @param sample - The sample.
   */
  abortRun(sample: string): void {
    this.#runs.get(sample)?.abort.abort();
  }

  /** Ends all runs; none is moved any more. */
  abortAll(): void {
    this.#hasEnded = true;
    this.#runs.forEach(({ abort }) => abort.abort());
  }

  async #runOnce(
    task: SampleTask,
    endpoint: EndpointStructure,
    moves: number,
  ): Promise<GenerationReport> {
    const run: SampleRun = {
      task,
      endpoint,
      startedAtMs: this.#options.clock.getMonotonicMs(),
      startEvents: task.eventCount,
      moves,
      abort: new AbortController(),
    };
    this.#runs.set(task.request.id, run);
    const report = await runGeneration({
      ...this.#options,
      lot: this.#lot.request,
      task,
      endpoint,
      urgency: USUAL_URGENCY,
      deadlineMs: RUN_BOUND_MS,
      signal: run.abort.signal,
    });
    this.#runs.delete(task.request.id);
    this.#recordRun(run, report);
    return report;
  }

  #takeTarget({ request }: SampleTask): EndpointStructure | undefined {
    const target = this.#targets.get(request.id);
    this.#targets.delete(request.id);
    return target;
  }

  #listMovable(nowMs: number): readonly RunningSample[] {
    const { eventTokens } = this.#options.picker;
    return [...this.#runs.values()]
      .filter(({ task }) => !this.#targets.has(task.request.id))
      .map(({ task, endpoint, startedAtMs, startEvents, moves }) => ({
        sample: task.request.id,
        engine: endpoint.id,
        events: task.eventCount - startEvents,
        tookMs: nowMs - startedAtMs,
        expectedLeft: Math.max(
          task.request.expectedTokens / eventTokens - task.eventCount,
          task.eventCount / 2,
          MIN_EXPECTED_EVENTS,
        ),
        moves,
      }));
  }

  #recordRun(run: SampleRun, report: GenerationReport): void {
    const { clock, logger, picker, metrics } = this.#options;
    const { task, endpoint } = run;
    const nowMs = clock.getMonotonicMs();
    const tookMs = nowMs - run.startedAtMs;
    picker.addRun(endpoint.id, {
      events: task.eventCount - run.startEvents,
      tookMs,
      nowMs,
      tokens: report.end === "finished" ? task.request.expectedTokens : 0,
    });
    metrics.addRun(this.#lot.request.model, report.end, tookMs);
    logger.info("sample-run-ended", {
      lot: this.#lot.id,
      sample: task.request.id,
      endpoint: endpoint.id,
      end: report.end,
      reason: report.reason,
      fromEvent: run.startEvents,
      events: task.eventCount,
      tookMs: Math.round(tookMs),
      versions: task.versions.join(","),
    });
  }
}
