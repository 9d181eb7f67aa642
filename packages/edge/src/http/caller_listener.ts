/**
 * Listens for requests of callers and for readiness probes of the load balancer.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { openServer } from "@briarhill/common/http/open_server";
import type { Logger } from "@briarhill/common/logging/logger";
import type { CallerLimits } from "@briarhill/routing/table/route";
import { createServer, type Server } from "node:http";
import type { Ingress } from "../calls/ingress.ts";
import { ConnectionDrain } from "./connection_drain.ts";
import type { ConnectionGuard } from "./connection_guard.ts";
import type { ConnectionLimits } from "./connection_limits.ts";
import { RequestQueue } from "./request_queue.ts";

/** Limits that apply until the first configuration is loaded. */
export const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Options of {@link CallerListener}. */
export interface CallerListenerOptions {
  readonly logger: Logger;
  readonly guard: ConnectionGuard;
  readonly connectionLimits: ConnectionLimits;
}

/** The HTTP servers that accept callers' requests. */
export class CallerListener {
  readonly #options: CallerListenerOptions;
  readonly #queue: RequestQueue;
  readonly #drain = new ConnectionDrain();
  #servers: readonly Server[] = [];

  /**
   * @param ingress - Handles the requests.
   * @param options - The logger and the limits of connections.
   */
  constructor(ingress: Ingress, options: CallerListenerOptions) {
    this.#options = options;
    this.#queue = new RequestQueue((...exchange) =>
      void ingress.handle(...exchange)
    );
  }

  /**
   * Starts to listen.
   *
   * @param addresses - The addresses of callers and of readiness probes, which may be the same.
   */
  async start(
    { callers, health }: {
      readonly callers: HttpAddress;
      readonly health: HttpAddress;
    },
  ): Promise<void> {
    const { connectionLimits } = this.#options;
    const isSame = callers.hostname === health.hostname &&
      callers.port === health.port;
    this.#servers = await Promise.all([
      this.#open(callers, connectionLimits.callers),
      ...(isSame ? [] : [this.#open(health, connectionLimits.health)]),
    ]);
  }

  /**
   * Applies the limits of a configuration to new connections.
   *
   * @param limits - The limits to apply.
   */
  applyLimits(limits: CallerLimits): void {
    this.#options.guard.applyLimits(limits);
    for (const server of this.#servers) {
      server.keepAliveTimeout = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
    }
  }

  /** The number of open connections. */
  get openConnections(): number {
    return this.#drain.openConnections;
  }

  /** Asks callers to use another connection for their next request. */
  announceClose(): void {
    this.#drain.announceClose();
  }

  /** Stops accepting connections, closes idle ones, and closes the others after their responses. */
  close(): void {
    this.#drain.close();
  }

  async #open(
    address: HttpAddress,
    maxConnections: number,
  ): Promise<Server> {
    const server = createServer({
      maxHeaderSize: INITIAL_LIMITS.maxHeaderBytes,
      requestTimeout: 0,
      headersTimeout: INITIAL_LIMITS.headerTimeoutMs,
      keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs,
    });
    const { guard, logger } = this.#options;
    this.#queue.addServer(server);
    this.#drain.addServer(server);
    guard.addServer(server, maxConnections);
    server.on("clientError", (error, socket) => {
      logger.error("request-unreadable", error);
      socket.destroy();
    });
    await openServer(server, address);
    return server;
  }
}
