/**
 * Liveness, readiness and metrics endpoints of a node.
 * @module
 */
import type { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";
import type { Exchange } from "../http/exchange.ts";
import type { HttpListener } from "../http/http_listener.ts";
import type { NodeContext } from "../node/node_context.ts";
import { formatMetrics } from "@briarhill/common/metrics/metrics_format";
import type { Readiness } from "./readiness.ts";

/** Serves the liveness and readiness probes, the metrics and the histograms. */
export class AdminRoutes {
  readonly #context: NodeContext;
  readonly #readiness: Readiness;

  constructor(context: NodeContext, readiness: Readiness) {
    this.#context = context;
    this.#readiness = readiness;
  }

  /**
   * Adds the routes to a listener.
   *
   * @param listener - The HTTP listener that operators and health checks connect to.
   */
  register(listener: HttpListener): void {
    listener.addRoute("GET", "/livez", (exchange) => {
      exchange.sendJson(200, { live: true });
    });
    listener.addRoute(
      "GET",
      "/readyz",
      (exchange) => this.#handleReady(exchange),
    );
    listener.addRoute("GET", "/metrics", (exchange) => {
      sendMetrics(exchange, this.#context.histograms);
    });
    listener.addRoute("GET", "/histograms", (exchange) => {
      exchange.sendJson(200, this.#context.histograms.getSummaries());
    });
  }

  #handleReady(exchange: Exchange): void {
    const report = this.#readiness.getReport();
    exchange.sendJson(report.ready ? 200 : 503, report);
  }
}

function sendMetrics(exchange: Exchange, histograms: HistogramRegistry): void {
  const text = formatMetrics(histograms.getSummaries());
  exchange.response.writeHead(200, {
    "content-type": "text/plain; version=0.0.4",
  });
  exchange.response.end(text);
}
