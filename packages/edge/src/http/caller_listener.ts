/**
 * Listens for callers and for the balancer's question.
 * @module
 */
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { openServer } from "@briarhill/common/http/open_server";
import type { Logger } from "@briarhill/common/logging/logger";
import type { CallerLimits } from "@briarhill/routing/table/route";
import { createServer, type Server } from "node:http";
import type { Ingress } from "../calls/ingress.ts";

/** Before the first configuration; afterwards its limits hold. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 33_554_432,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Listens for callers. */
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
   * Opens the listeners.
   *
   * @param addresses - Where; equal addresses are opened once.
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
   * Applies the limits of a configuration to connections from now on.
   *
   * @param limits - The limits.
   */
  applyLimits(limits: CallerLimits): void {
    for (const server of this.#servers) {
      server.keepAliveTimeout = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
    }
  }

  /** Accepts no more connections, and closes each one after its request. */
  closeIdle(): void {
    this.#isClosing = true;
    for (const server of this.#servers) {
      server.close();
      server.closeIdleConnections();
    }
  }

  async #open(address: HttpAddress): Promise<Server> {
    const server = createServer({
      maxHeaderSize: FIRST_LIMITS.maxHeaderBytes,
      requestTimeout: 0,
      headersTimeout: FIRST_LIMITS.headerTimeoutMs,
      keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs,
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
