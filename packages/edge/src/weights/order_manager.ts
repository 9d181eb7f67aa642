/**
 * Orders engines to load the named versions of weights while this host holds
 * the lease.
 * @module
 */
import { BriarhillError, PortError } from "@briarhill/common/errors/errors";
import { createPortError } from "@briarhill/common/errors/port_error";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  decideLoads,
  type LoadOrder,
} from "@briarhill/control/orders/weight_plan";
import {
  decodeOrderReply,
  decodeReport,
  encodeOrder,
  encodeReportCall,
  type EngineReport,
} from "@briarhill/platform/engine/engine_calls";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import type { EndpointSender } from "../calls/endpoint_sender.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { ReachMonitor } from "../reach/reach_monitor.ts";
import type { LeaseManager } from "./lease_manager.ts";

/** Interval between comparisons of engines with the named versions, in milliseconds. */
const HOLDER_INTERVAL_MS = 50;
/** Interval between checks of the lease while another host holds it, in milliseconds. */
const IDLE_INTERVAL_MS = 300;
/** Minimum duration of a load, in milliseconds; no report is requested earlier. */
const MIN_LOAD_MS = 800;
/** Interval between reports requested from an engine that is loading, in milliseconds. */
const REPORT_INTERVAL_MS = 150;
/** Timeout for a load, in milliseconds; after it the engine is compared with the named versions again. */
const LOAD_TIMEOUT_MS = 6_000;
/** How long an engine gets no orders after a call to it failed, in milliseconds. */
const UNREACHABLE_BACKOFF_MS = 1_500;
const CALL_TIMEOUT_MS = 500;

/** Options of an `OrderManager`. */
export interface OrderManagerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly lease: LeaseManager;
  readonly directory: EndpointDirectory;
  readonly sender: EndpointSender;
  readonly reach: ReachMonitor;
  readonly holder: string;
  readonly metrics: HostMetrics;
  readonly getTable: () => RouteTable | undefined;
  readonly getVersions: () => ReadonlyMap<string, number>;
}

/** Orders engines to load the named versions of weights. */
export class OrderManager {
  readonly #options: OrderManagerOptions;
  readonly #stopping = new AbortController();
  /** The order in flight to or being executed by each engine. */
  readonly #ordersInFlight = new Map<string, LoadOrder>();
  /** The last report of each engine; newer than the state in the directory. */
  readonly #reports = new Map<string, EngineReport>();
  readonly #pausedUntilMs = new Map<string, number>();
  constructor(options: OrderManagerOptions) {
    this.#options = options;
  }

  /** Starts to send orders whenever this host holds the lease. */
  start(): void {
    void this.#run();
  }

  /** Stops sending orders. */
  stop(): void {
    this.#stopping.abort();
  }

  async #run(): Promise<void> {
    const { clock, lease } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      if (lease.canOrder()) {
        this.#decideOrders().forEach((order) => void this.#applyOrder(order));
      }
      const pauseMs = lease.isHolder ? HOLDER_INTERVAL_MS : IDLE_INTERVAL_MS;
      await clock.sleep(pauseMs, signal);
    }
  }

  #decideOrders(): readonly LoadOrder[] {
    const { directory, getTable, getVersions, reach } = this.#options;
    const services = getTable()?.listEngineServices() ?? [];
    const reached = services.filter(({ name }) => reach.canSend(name));
    return reached.flatMap((service) => {
      const wanted = [...getVersions()].filter(([model]) =>
        service.models.includes(model)
      );
      return decideLoads({
        targetVersions: new Map(wanted),
        models: service.models,
        engines: directory.listEndpoints(service.name)
          .filter(({ id }) => !this.#isPaused(id))
          .map((engine) => ({
            id: engine.id,
            models: this.#getModels(engine),
            loading: this.#ordersInFlight.get(engine.id),
          })),
      });
    });
  }

  #isPaused(engine: string): boolean {
    const untilMs = this.#pausedUntilMs.get(engine) ?? 0;
    return this.#options.clock.getMonotonicMs() < untilMs;
  }

  /** Versions only increase between two starts of an engine, so the greater version is the newer one. */
  #getModels(engine: EndpointStructure): ReadonlyMap<string, number> {
    const report = this.#reports.get(engine.id);
    if (report === undefined || report.startedAtMs !== engine.startedAtMs) {
      return engine.models;
    }
    return new Map(
      [...engine.models].map(([model, version]) => [
        model,
        Math.max(version, report.models.get(model) ?? 0),
      ]),
    );
  }

  async #applyOrder(order: LoadOrder): Promise<void> {
    const { logger, directory, clock } = this.#options;
    const engine = directory.getEndpoint(order.engine);
    if (engine === undefined) {
      return;
    }
    this.#ordersInFlight.set(engine.id, order);
    try {
      const before = await this.#fetchReport(engine);
      if (!before.isBusy && !isDone(before, order)) {
        await this.#sendOrder(engine, order, before);
        await clock.sleep(MIN_LOAD_MS);
      }
      await this.#waitLoaded(engine, order, before);
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      this.#pausedUntilMs.set(
        engine.id,
        clock.getMonotonicMs() + UNREACHABLE_BACKOFF_MS,
      );
      logger.error("engine-order-failed", error, { ...order });
    } finally {
      this.#ordersInFlight.delete(engine.id);
    }
  }

  async #sendOrder(
    engine: EndpointStructure,
    order: LoadOrder,
    { orderCount }: EngineReport,
  ): Promise<void> {
    const { lease, sender, holder, logger, metrics } = this.#options;
    if (!lease.canOrder()) {
      return;
    }
    const call = encodeOrder({
      ...order,
      holder,
      token: lease.token,
      orderCount,
    });
    try {
      const { status } = await sender.callControl(
        engine,
        call,
        CALL_TIMEOUT_MS,
      );
      const reply = decodeOrderReply(status);
      metrics.addOrder(reply);
      logger.info("engine-order-sent", {
        ...order,
        orderCount,
        token: lease.token,
        reply,
      });
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      metrics.addOrder("unanswered");
      // The engine may still execute the order; its reports show whether it does.
      logger.error("engine-order-unanswered", error, { ...order, orderCount });
    }
  }

  async #waitLoaded(
    engine: EndpointStructure,
    order: LoadOrder,
    before: EngineReport,
  ): Promise<void> {
    const { clock, logger } = this.#options;
    const { signal } = this.#stopping;
    const startMs = clock.getMonotonicMs();
    while (
      !signal.aborted && clock.getMonotonicMs() - startMs < LOAD_TIMEOUT_MS
    ) {
      const report = await this.#fetchReport(engine);
      const isUnchanged = report.orderCount === before.orderCount;
      if (isDone(report, order) || (!report.isBusy && isUnchanged)) {
        logger.info("engine-loaded", {
          ...order,
          isDone: isDone(report, order),
          orderCount: report.orderCount,
        });
        return;
      }
      await clock.sleep(REPORT_INTERVAL_MS, signal);
    }
  }

  async #fetchReport(engine: EndpointStructure): Promise<EngineReport> {
    const answer = await this.#options.sender.callControl(
      engine,
      encodeReportCall(engine.id),
      CALL_TIMEOUT_MS,
    );
    if (answer.status !== 200) {
      throw createPortError(
        `report of engine "${engine.id}" failed with status ${answer.status}, expected 200`,
        {
          port: "endpoint",
          operation: "report",
          fault: "rejected",
          outcome: "not-run",
        },
      );
    }
    const report = decodeReport(answer);
    this.#reports.set(engine.id, report);
    return report;
  }
}

function isDone({ models, isBusy }: EngineReport, order: LoadOrder): boolean {
  return !isBusy && (models.get(order.model) ?? 0) >= order.version;
}
