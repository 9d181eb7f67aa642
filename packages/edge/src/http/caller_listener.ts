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

/** Limits that apply until the first configuration is loaded. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** The HTTP servers that accept callers' requests. */
export class CallerListener {
  readonly #logger: Logger;
  readonly #ingress: Ingress;
  #servers: readonly Server[] = [];
  #isClosing = false;

  constructor(ingress: Ingress, logger: Logger) {
    this.#ingress = ingress;
    this.#logger = logger;
  }

  /**
   * Starts to listen.
   *
   * @param addresses - The addresses to listen on; duplicates are ignored.
   */
  async start(addresses: readonly HttpAddress[]): Promise<void> {
    const distinct = new Map(
      addresses.map((address) => [
        `${address.hostname}:${address.port}`,
        address,
      ]),
    );
    this.#servers = await Promise.all(
      [...distinct.values()].map((address) => this.#open(address)),
    );
  }

  /**
   * Applies the limits of a configuration to new connections.
   *
   * @param limits - The limits to apply.
   */
  applyLimits(limits: CallerLimits): void {
    for (const server of this.#servers) {
      server.keepAliveTimeout = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
    }
  }

  /**
   * Stops accepting connections, closes idle ones, and closes the remaining
   * ones after their current request.
   */
  closeIdle(): void {
    this.#isClosing = true;
    for (const server of this.#servers) {
      server.close();
      server.closeIdleConnections();
    }
  }

  async #open(address: HttpAddress): Promise<Server> {
    const server = createServer({
      maxHeaderSize: INITIAL_LIMITS.maxHeaderBytes,
      requestTimeout: 0,
      headersTimeout: INITIAL_LIMITS.headerTimeoutMs,
      keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs,
    }, (request, response) => {
      if (this.#isClosing) {
        response.setHeader("Connection", "close");
      }
      void this.#ingress.handle(request, response);
    });
    server.on("clientError", (error, socket) => {
      this.#logger.error("request-unreadable", error);
      socket.destroy();
    });
    await openServer(server, address);
    return server;
  }
}
