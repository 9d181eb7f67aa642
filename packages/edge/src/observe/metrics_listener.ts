/**
 * Serves the metrics of a host over HTTP.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { openServer } from "@briarhill/common/http/open_server";
import { createServer, type Server } from "node:http";
import type { ConnectionGuard } from "../http/connection_guard.ts";
import type { ConnectionLimits } from "../http/connection_limits.ts";
import { RequestQueue } from "../http/request_queue.ts";
import type { HostMetrics } from "./host_metrics.ts";

const METRICS_PATH = "/metrics";
const STATUS_NOT_FOUND = 404;

/** The HTTP server of a host's metrics. */
export class MetricsListener {
  readonly #server: Server = createServer();

  /**
   * @param metrics - The metrics to serve.
   * @param options - Limits the connections.
   */
  constructor(
    metrics: HostMetrics,
    options: {
      readonly guard: ConnectionGuard;
      readonly connectionLimits: ConnectionLimits;
    },
  ) {
    const queue = new RequestQueue((request, response) => {
      if (request.url !== METRICS_PATH) {
        response.writeHead(STATUS_NOT_FOUND).end();
        return;
      }
      response.writeHead(200, { "content-type": "text/plain" })
        .end(metrics.formatAll());
    });
    queue.addServer(this.#server);
    options.guard.addServer(this.#server, options.connectionLimits.metrics);
  }

  /**
   * Starts to listen.
   *
   * @param address - The address to listen on.
   */
  start(address: HttpAddress): Promise<void> {
    return openServer(this.#server, address);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
