/**
 * Runs the samples of a lot on engines and moves stragglers to faster engines.
 * @module
 */
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { AttemptPace } from "@briarhill/rollout/dispatch/attempt_pace";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { RunningAttempt } from "@briarhill/rollout/dispatch/straggler_policy";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { IncarnationCheck } from "../endpoints/incarnation_check.ts";
import type { EndpointSender } from "../calls/endpoint_sender.ts";
import type { EndpointAdmission } from "../limits/endpoint_admission.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { EnginePicker } from "./engine_picker.ts";
import type { GenerationReport } from "./generation_report.ts";
import { KeptEvents } from "./kept_events.ts";
import type { SampleAttempt } from "./sample_attempt.ts";
import { runGeneration } from "./sample_generation.ts";

/** Interval between checks for stragglers, in milliseconds; about three events. */
const STRAGGLER_CHECK_INTERVAL_MS = 100;
/** Timeout of one attempt at a sample, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 15_000;

/** The urgency of requests that state none: engines interrupt running requests for more urgent ones. */
const DEFAULT_URGENCY = 5;

/** Options of `RunningSamples`. */
export interface RunningSamplesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly sender: EndpointSender;
  readonly picker: EnginePicker;
  readonly admission: EndpointAdmission;
  readonly metrics: HostMetrics;
  readonly incarnations: IncarnationCheck;
  /** The account of the responses of endpoints. */
  readonly endpointResponses: ResponseMemory;
}

/** Runs the samples of a lot on engines; a sample has at most one attempt at a time. */
export class RunningSamples {
  readonly #options: RunningSamplesOptions;
  readonly #lot: LedgerLot;
  readonly #attempts = new Map<string, SampleAttempt>();
  /** The engine on which each aborted sample continues. */
  readonly #targets = new Map<string, EndpointStructure>();
  readonly #kept: KeptEvents;
  #isStopped = false;
  #nextCheckAtMs = 0;

  constructor(options: RunningSamplesOptions, lot: LedgerLot) {
    this.#options = options;
    this.#lot = lot;
    this.#kept = new KeptEvents({
      ...options,
      lot: lot.id,
      abortAttempt: (sample) => this.abortAttempt(sample),
    });
  }

  /**
   * Runs a sample on an engine and, after each move, on the next one.
   *
   * @param task - The task of the sample.
   * @param endpoint - The first engine.
   */
  async runSample(
    task: SampleTask,
    endpoint: EndpointStructure,
  ): Promise<GenerationReport> {
    const { admission } = this.#options;
    let engine = endpoint;
    for (let moves = 0;; moves++) {
      const plan = { task, endpoint: engine, moves };
      const report = await this.#runAttempt(plan);
      const target = this.#takeTarget(task);
      const isMoved = report.end === "cancelled" && !this.#isStopped;
      if (target === undefined || !isMoved) {
        return report;
      }
      if (admission.isLimited(target)) {
        return { end: "refused", reason: "limited" };
      }
      engine = target;
    }
  }

  /**
   * Moves samples from slow engines to faster ones.
   *
   * @param route - The route of the lot.
   * @param nowMs - The current time on the monotonic clock.
   */
  advanceMoves(route: RouteStructure, nowMs: number): void {
    if (nowMs < this.#nextCheckAtMs) {
      return;
    }
    this.#nextCheckAtMs = nowMs + STRAGGLER_CHECK_INTERVAL_MS;
    const { picker, logger, metrics } = this.#options;
    const { request } = this.#lot;
    const running = this.#listMovable(nowMs);
    const moves = picker.decideMoves(running, request, route);
    for (const { sample, engine, reason } of moves) {
      metrics.addMove(reason);
      const fields = { lot: request.id, sample, endpoint: engine.id };
      logger.info("sample-moved", { ...fields, reason });
      this.#targets.set(sample, engine);
      this.abortAttempt(sample);
    }
  }

  /**
   * Aborts the running attempt of a sample, and returns whether there is one.
   *
   * @param sample - The sample's id.
   */
  abortAttempt(sample: string): boolean {
    const attempt = this.#attempts.get(sample);
    attempt?.abort.abort();
    return attempt !== undefined;
  }

  /** Aborts all attempts and allows no further moves. */
  abortAll(): void {
    this.#isStopped = true;
    this.#attempts.forEach(({ abort }) => abort.abort());
    this.#kept.close();
  }

  async #runAttempt(
    plan: Pick<SampleAttempt, "task" | "endpoint" | "moves">,
  ): Promise<GenerationReport> {
    const { task } = plan;
    const startedAtMs = this.#options.clock.getMonotonicMs();
    const attempt: SampleAttempt = {
      ...plan,
      startedAtMs,
      pace: new AttemptPace(startedAtMs),
      initialEvents: task.eventCount,
      abort: new AbortController(),
    };
    this.#attempts.set(task.request.id, attempt);
    this.#kept.setBytes(task, task.heldBytes);
    const ended = await this.#generate(attempt).catch((error: unknown) =>
      this.#createFaultReport(attempt, error)
    );
    this.#attempts.delete(task.request.id);
    const report = this.#kept.settleAttempt(task, ended);
    this.#recordAttempt(attempt, report);
    return report;
  }

  async #generate(
    { task, endpoint, abort, pace }: SampleAttempt,
  ): Promise<GenerationReport> {
    const { clock, incarnations, picker } = this.#options;
    // An attempt that needs no report is sent at once.
    const isConfirmed = incarnations.isListed(endpoint) ||
      await picker.observer.runCounted(
        endpoint.id,
        () => incarnations.isConfirmed(endpoint),
      );
    if (!isConfirmed) {
      return { end: "refused", reason: "incarnation-unconfirmed" };
    }
    task.startAttempt(endpoint.softwareVersion);
    return await runGeneration({
      ...this.#options,
      lot: this.#lot.request,
      task,
      endpoint,
      urgency: DEFAULT_URGENCY,
      deadlineMs: ATTEMPT_TIMEOUT_MS,
      signal: abort.signal,
      onEvents: (count) => pace.addEvents(count, clock.getMonotonicMs()),
      onHeldBytes: (bytes) => this.#kept.setBytes(task, bytes),
    });
  }

  /** An error of this program at one sample must not end the process with all other requests. */
  #createFaultReport(
    { task, endpoint }: SampleAttempt,
    error: unknown,
  ): GenerationReport {
    this.#options.logger.error("sample-attempt-failed", error, {
      lot: this.#lot.id,
      sample: task.request.id,
      endpoint: endpoint.id,
    });
    return { end: "broken", reason: "fault" };
  }

  #takeTarget({ request }: SampleTask): EndpointStructure | undefined {
    const target = this.#targets.get(request.id);
    this.#targets.delete(request.id);
    return target;
  }

  #listMovable(nowMs: number): readonly RunningAttempt[] {
    const { picker } = this.#options;
    return [...this.#attempts.values()]
      .filter(({ task }) => !this.#targets.has(task.request.id))
      .map(({ task, endpoint, pace, moves }) => ({
        sample: task.request.id,
        engine: endpoint.id,
        softwareVersion: endpoint.softwareVersion,
        eventMs: pace.getEventMs(),
        silenceMs: pace.getSilenceMs(nowMs),
        expectedLeft: picker.observer.lengths.computeEventsLeft(task),
        moves,
      }));
  }

  #recordAttempt(attempt: SampleAttempt, report: GenerationReport): void {
    const { clock, logger, picker: { observer }, metrics } = this.#options;
    const { task, endpoint, pace, initialEvents } = attempt;
    const nowMs = clock.getMonotonicMs();
    const tookMs = nowMs - attempt.startedAtMs;
    const events = task.eventCount - initialEvents;
    observer.addAttempt(endpoint.id, { events, pace, nowMs });
    if (report.end === "finished") {
      observer.lengths.addFinished(task);
    }
    metrics.addAttempt(this.#lot.request.model, report.end, tookMs);
    logger.info("sample-attempt-ended", {
      lot: this.#lot.id,
      sample: task.request.id,
      endpoint: endpoint.id,
      end: report.end,
      reason: report.reason,
      fromEvent: initialEvents,
      events: task.eventCount,
      tookMs: Math.round(tookMs),
      waitMs: Math.round(pace.waitMs ?? tookMs),
      versions: task.versions.join(","),
    });
  }
}
