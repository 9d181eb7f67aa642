/**
 * Runs the samples of one lot through generation, scoring and settling.
 * @module
 */
import { LotTasks } from "@briarhill/rollout/dispatch/lot_tasks";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import { setMaxListeners } from "node:events";
import {
  type GenerationReport,
  getBackoffMs,
  hasSpoiledEvents,
} from "./generation_report.ts";
import type { ProgressRecorder } from "./progress_recorder.ts";
import type { ResultSettler } from "./result_settler.ts";
import {
  RunningSamples,
  type RunningSamplesOptions,
} from "./running_samples.ts";
import { pickForTask } from "./task_pick.ts";
import type { SampleScorer } from "./sample_scorer.ts";

/** Maximum clock skew between two hosts, in milliseconds; added so that a sample is abandoned late rather than early. */
const MAX_CLOCK_SKEW_MS = 5_000;
/** Backoff after a scoring call that failed, in milliseconds. */
const SCORING_BACKOFF_MS = 40;

/** Options of a `LotRunner`. */
export interface LotRunnerOptions extends RunningSamplesOptions {
  readonly scorer: SampleScorer;
  readonly settler: ResultSettler;
  readonly progress: ProgressRecorder;
  readonly getTable: () => RouteTable | undefined;
  /** Returns the task of a sample in an earlier lot and ends the attempt there. */
  readonly takeEarlierTask: (sample: string) => SampleTask | undefined;
}

/** Runs the samples of one lot until it is closed or this host no longer owns it. */
export class LotRunner {
  readonly #options: LotRunnerOptions;
  readonly #work: LotTasks;
  readonly #running: RunningSamples;
  readonly #stopping = new AbortController();

  constructor(lot: LedgerLot, options: LotRunnerOptions) {
    this.#options = options;
    // All scoring calls of a lot listen to this signal.
    setMaxListeners(0, this.#stopping.signal);
    this.#work = new LotTasks(lot);
    this.#running = new RunningSamples(options, lot);
    const { minVersion, model } = lot.request;
    const merged = this.#work.listTasks().filter((task) => {
      const earlier = options.takeEarlierTask(task.request.id);
      return earlier !== undefined && task.mergeTask(earlier, minVersion);
    });
    options.logger.info("lot-started", {
      lot: lot.id,
      samples: lot.request.samples.length,
      settled: lot.results.length,
      merged: merged.length,
      model,
      minVersion,
    });
  }

  /** Whether results of the lot are still needed. */
  get isOpen(): boolean {
    return this.#work.isOpen;
  }

  /**
   * Aborts the running attempt of a sample and returns its task, if there is one.
   *
   * @param sample - The sample's id.
   */
  takeTask(sample: string): SampleTask | undefined {
    this.#running.abortAttempt(sample);
    return this.#work.getTask(sample);
  }

  /** Cancels all attempts and scoring calls. */
  stop(): void {
    this.#stopping.abort();
    this.#running.abortAll();
  }

  /** Cancels all attempts and scoring calls and appends their progress to the log, so that another host can continue from it. */
  async release(): Promise<void> {
    this.stop();
    const { progress, clock } = this.#options;
    await progress.finish(this.#work, clock.getMonotonicMs());
  }

  /** Starts the attempts and scoring calls that are due, moves stragglers and appends progress. */
  advance(): void {
    const { clock, getTable } = this.#options;
    const { request } = this.#work.lot;
    const { host, path, workspace } = request;
    const route = getTable()?.findRoute(host, path, workspace);
    if (
      route === undefined || !this.#work.isOpen || this.#stopping.signal.aborted
    ) {
      return;
    }
    const retentionMs = route.retentionMs + MAX_CLOCK_SKEW_MS;
    if (clock.getWallMs() > request.acceptedAtMs + retentionMs) {
      this.#dropAll();
      return;
    }
    const nowMs = clock.getMonotonicMs();
    this.#work.listUnscored(nowMs).forEach((task) => void this.#score(task));
    this.#startWaiting(route, nowMs);
    this.#running.advanceMoves(route, nowMs);
    this.#options.progress.advance(this.#work, nowMs);
  }

  #startWaiting(route: RouteStructure, nowMs: number): void {
    const lot = this.#work.lot.request;
    for (const task of this.#work.listWaiting(nowMs)) {
      const pick = pickForTask(task, { ...this.#options, lot, route });
      if (pick.engine !== undefined) {
        void this.#generate(task, pick.engine, route);
      } else if (!pick.canOthersStart) {
        return;
      }
    }
  }

  async #generate(
    task: SampleTask,
    endpoint: EndpointStructure,
    route: RouteStructure,
  ): Promise<void> {
    task.phase = "generating";
    // An engine without a limit is used at once, so that the next pick counts this attempt.
    const isAdmitted = !this.#options.admission.isLimited(endpoint) ||
      await this.#acquirePermit(endpoint, route);
    if (!isAdmitted) {
      task.phase = "waiting";
      return;
    }
    const report = await this.#running.runSample(task, endpoint);
    this.#applyReport(task, report, route);
    this.advance();
  }

  async #acquirePermit(
    endpoint: EndpointStructure,
    route: RouteStructure,
  ): Promise<boolean> {
    const { signal } = this.#stopping;
    const { kind } = await this.#options.admission.admitTo(endpoint, {
      service: endpoint.service,
      flow: "training",
      priority: route.priority,
      signal,
    });
    return kind === "admitted" && !signal.aborted && this.#work.isOpen;
  }

  #applyReport(
    task: SampleTask,
    report: GenerationReport,
    route: RouteStructure,
  ): void {
    const { end } = report;
    if (end === "finished" && task.eventCount > 0) {
      task.isComplete = true;
      const isMixed = route.isSingleVersion && task.versions.length > 1;
      if (isMixed) {
        task.clear();
      }
      task.phase = isMixed ? "waiting" : "unscored";
      return;
    }
    if (end === "impossible") {
      this.#dropSample(task, "impossible");
      return;
    }
    if (end === "failed" && ++task.failures >= route.maxAttempts) {
      this.#dropSample(task, "failed");
      return;
    }
    if (hasSpoiledEvents(report)) {
      task.clear();
    }
    task.phase = "waiting";
    task.notBeforeMs = this.#options.clock.getMonotonicMs() +
      getBackoffMs(report);
  }

  async #score(task: SampleTask): Promise<void> {
    const { scorer, clock, getTable } = this.#options;
    const { scoring } = task.request;
    if (scoring === undefined || task.score !== "") {
      this.#settle(task);
      return;
    }
    const route = getTable()?.findRoute(scoring.host, scoring.path);
    if (route === undefined) {
      return;
    }
    task.phase = "scoring";
    const { signature, failures, retryAfterMs } = await scorer.scoreSample(
      scoring,
      route,
      this.#stopping.signal,
    );
    if (signature !== "") {
      task.score = signature;
      this.#settle(task);
      return;
    }
    task.scoringFailures += failures;
    if (task.scoringFailures >= route.maxAttempts) {
      this.#dropSample(task, "unscored");
      return;
    }
    task.phase = "unscored";
    task.notBeforeMs = clock.getMonotonicMs() +
      (retryAfterMs ?? SCORING_BACKOFF_MS);
  }

  #settle(task: SampleTask): void {
    task.phase = "done";
    this.#options.settler.addResult(task.toResult());
  }

  #dropSample(task: SampleTask, reason: string): void {
    this.#options.logger.warn("sample-abandoned", {
      lot: this.#work.lot.id,
      sample: task.request.id,
      reason,
      failures: task.failures,
      scoringFailures: task.scoringFailures,
    });
    task.phase = "done";
    this.#options.settler.addResult(task.toAbandonedResult());
  }

  #dropAll(): void {
    for (const task of this.#work.listOpen()) {
      this.#dropSample(task, "retention-passed");
    }
    this.stop();
  }
}
