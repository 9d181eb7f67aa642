/**
 * Makes calls to the store for other hosts that it turns away.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { openServer } from "@briarhill/common/http/open_server";
import { readBody } from "@briarhill/common/http/http_sender";
import type { Logger } from "@briarhill/common/logging/logger";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { RELAY_HEADER, type RelayedTransport } from "./relayed_transport.ts";

const BODY_TIMEOUT_MS = 2_000;
const STATUS_UNAVAILABLE = 503;

/** Makes calls to the store for other hosts. */
export class RelayListener {
  readonly #transport: RelayedTransport;
  readonly #logger: Logger;
  readonly #server: Server;

  constructor(transport: RelayedTransport, logger: Logger) {
    this.#transport = transport;
    this.#logger = logger;
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
  }

  /**
   * Listens for other hosts.
   *
   * @param address - Where.
   */
  start(address: HttpAddress): Promise<void> {
    return openServer(this.#server, address);
  }

  /** Stops listening. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const body = await readBody(request, {
        timeoutMs: BODY_TIMEOUT_MS,
        port: "peer",
        operation: "relay",
      });
      if (!this.#transport.isDirect) {
        response.writeHead(STATUS_UNAVAILABLE).end();
        return;
      }
      const answer = await this.#transport.callDirect({
        method: request.method ?? "GET",
        path: request.url ?? "/",
        ...(request.method === "GET" ? {} : { body }),
        timeoutMs: Number(request.headers[RELAY_HEADER.toLowerCase()]) || 1_000,
        mayRelay: false,
      });
      response.writeHead(answer.status, {
        "content-type": answer.headers["content-type"] ?? "text/plain",
        "content-length": answer.body.length,
      }).end(answer.body);
    } catch (error) {
      this.#logger.error("relayed-call-failed", error, {
        path: (request.url ?? "").split("?", 1)[0] ?? "",
      });
      const isSafe = error instanceof PortError && error.outcome === "not-run";
      // A closed connection leaves the outcome open, as it is.
      isSafe
        ? response.writeHead(STATUS_UNAVAILABLE).end()
        : response.destroy();
    }
  }
}
