/**
 * Runs the samples of one lot: generation, scoring, settling.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { assignEngines } from "@briarhill/control/orders/engine_assignment";
import { listEngines } from "@briarhill/rollout/dispatch/engine_choice";
import { LotWork } from "@briarhill/rollout/dispatch/lot_work";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import type { SampleResult } from "@briarhill/rollout/ledger/lot_request";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import { setMaxListeners } from "node:events";
import type { EndpointSender } from "../calls/endpoint_sender.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { ResultSettler } from "./result_settler.ts";
import type { GenerationReport } from "./generation_report.ts";
import { runGeneration } from "./sample_generation.ts";
import type { SampleScorer } from "./sample_scorer.ts";

/** The pause after a run that an engine refused, in milliseconds. */
const REFUSED_PAUSE_MS = 40;
/** The pause after a run that broke off, in milliseconds; the engine has dropped it by then. */
const BROKEN_PAUSE_MS = 60;
/** The longest run of a sample at one engine, in milliseconds. */
const RUN_BOUND_MS = 15_000;
/** The urgency of requests that say nothing. */
const USUAL_URGENCY = 5;

/** What a runner needs. */
export interface LotRunnerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: EndpointDirectory;
  readonly sender: EndpointSender;
  readonly scorer: SampleScorer;
  readonly settler: ResultSettler;
  readonly getTable: () => RouteTable | undefined;
  readonly failureDomain: string;
}

/** Runs the samples of one lot until it is closed or this host no longer owns it. */
export class LotRunner {
  readonly #options: LotRunnerOptions;
  readonly #work: LotWork;
  readonly #stopping = new AbortController();

  constructor(lot: LedgerLot, options: LotRunnerOptions) {
    this.#options = options;
    // Every sample of the lot waits on this one signal.
    setMaxListeners(0, this.#stopping.signal);
    this.#work = new LotWork(lot);
    options.logger.info("lot-begun", {
      lot: lot.id,
      samples: lot.request.samples.length,
      settled: lot.results.length,
      model: lot.request.model,
      minVersion: lot.request.minVersion,
    });
  }

  /** Whether results are still wanted. */
  get isOpen(): boolean {
    return this.#work.isOpen && !this.#stopping.signal.aborted;
  }

  /** Cancels what runs. */
  stop(): void {
    this.#stopping.abort();
  }

  /** Starts what can be started now. */
  advance(): void {
    const { clock, getTable } = this.#options;
    const { request } = this.#work.lot;
    if (!this.#work.isOpen) {
      this.stop();
      return;
    }
    const route = getTable()?.findRoute(request.host, request.path);
    if (route === undefined) {
      return;
    }
    if (clock.getWallMs() > request.acceptedAtMs + route.retentionMs) {
      this.#dropAll();
      return;
    }
    const nowMs = clock.getMonotonicMs();
    this.#work.listUnscored(nowMs).forEach((task) => void this.#score(task));
    for (const task of this.#work.listWaiting(nowMs)) {
      const engine = this.#pickEngine(route);
      if (engine === undefined) {
        return;
      }
      void this.#generate(task, engine, route);
    }
  }

  #pickEngine(route: RouteStructure): EndpointStructure | undefined {
    const { directory, clock, failureDomain, getTable } = this.#options;
    const { model, minVersion } = this.#work.lot.request;
    const service = route.targets[0]?.service ?? "";
    const engines = directory.listEndpoints(service);
    const models = getTable()?.getService(service)?.models ?? [];
    const nowMs = clock.getMonotonicMs();
    const homes = assignEngines(models, engines.map(({ id }) => id));
    const candidates = listEngines({
      engines,
      model,
      minVersion,
      home: homes.get(model) ?? new Set(),
      getRequests: (id) => directory.board.getLoad(id).getRequests(nowMs),
      isPaused: (id) => directory.board.getLoad(id).isPaused(nowMs),
    });
    return directory.board.pickEndpoint({
      candidates,
      tried: new Set(),
      failureDomain,
      nowMs,
    });
  }

  async #generate(
    task: SampleTask,
    endpoint: EndpointStructure,
    route: RouteStructure,
  ): Promise<void> {
    task.phase = "generating";
    const { clock, sender } = this.#options;
    const startMs = clock.getMonotonicMs();
    const startEvents = task.eventCount;
    const report = await runGeneration({
      clock,
      sender,
      lot: this.#work.lot.request,
      task,
      endpoint,
      urgency: USUAL_URGENCY,
      deadlineMs: RUN_BOUND_MS,
      signal: this.#stopping.signal,
    });
    this.#options.logger.info("sample-run-ended", {
      lot: this.#work.lot.id,
      sample: task.request.id,
      endpoint: endpoint.id,
      end: report.end,
      reason: report.reason,
      fromEvent: startEvents,
      events: task.eventCount,
      tookMs: Math.round(clock.getMonotonicMs() - startMs),
      versions: task.versions.join(","),
    });
    this.#applyReport(task, report, route);
    this.advance();
  }

  #applyReport(
    task: SampleTask,
    { end, reason }: GenerationReport,
    route: RouteStructure,
  ): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (end === "finished" && task.eventCount > 0) {
      this.#finishGeneration(task, route);
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
    if (end === "outdated" || reason === "gap") {
      task.clear();
    }
    task.phase = "waiting";
    task.notBeforeMs = nowMs +
      (end === "refused" ? REFUSED_PAUSE_MS : BROKEN_PAUSE_MS);
  }

  #finishGeneration(task: SampleTask, route: RouteStructure): void {
    if (route.isSingleVersion && task.versions.length > 1) {
      task.clear();
      task.phase = "waiting";
      return;
    }
    if (task.request.scoring === undefined) {
      this.#settle(task, task.toResult(""));
      return;
    }
    task.phase = "unscored";
  }

  async #score(task: SampleTask): Promise<void> {
    const { scorer, clock, getTable } = this.#options;
    const { scoring } = task.request;
    const route = scoring === undefined
      ? undefined
      : getTable()?.findRoute(scoring.host, scoring.path);
    if (scoring === undefined || route === undefined) {
      return;
    }
    task.phase = "scoring";
    const { signature, failures } = await scorer.scoreSample(
      scoring,
      route,
      this.#stopping.signal,
    );
    if (signature !== "") {
      this.#settle(task, task.toResult(signature));
      return;
    }
    task.scoringFailures += failures;
    if (task.scoringFailures >= route.maxAttempts) {
      this.#dropSample(task, "unscored");
      return;
    }
    task.phase = "unscored";
    task.notBeforeMs = clock.getMonotonicMs() + BROKEN_PAUSE_MS;
  }

  #settle(task: SampleTask, result: SampleResult): void {
    task.phase = "done";
    this.#options.settler.addResult(result);
  }

  #dropSample(task: SampleTask, reason: string): void {
    this.#options.logger.warn("sample-abandoned", {
      lot: this.#work.lot.id,
      sample: task.request.id,
      reason,
      failures: task.failures,
      scoringFailures: task.scoringFailures,
    });
    this.#settle(task, task.toAbandoned());
  }

  #dropAll(): void {
    for (const task of this.#work.listOpen()) {
      this.#dropSample(task, "retention-passed");
    }
    this.stop();
  }
}
