/**
 * Listens for other hosts: makes calls to the store for those that it turns
 * away, and answers their clients' calls about lots.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { openServer } from "@briarhill/common/http/open_server";
import { readBody } from "@briarhill/common/http/body_reader";
import type { Logger } from "@briarhill/common/logging/logger";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { CLAIM_HEADER } from "../lots/lot_claims.ts";
import { RELAY_HEADER, type RelayedTransport } from "./relayed_transport.ts";

const BODY_TIMEOUT_MS = 2_000;
/** The largest call to the store, in bytes: the platform's bound on one append, rounded up. */
const MAX_BODY_BYTES = 4_194_304;
const STATUS_UNAVAILABLE = 503;

/** Answers a call of another host. */
export type PeerCallHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Who answers which calls of other hosts. */
export interface PeerCallHandlers {
  /** Questions for lots that run here. */
  readonly onClaim: PeerCallHandler;
  /** Calls that another host passes on for its client. */
  readonly onCall: PeerCallHandler;
}

/** Listens for other hosts. */
export class PeerListener {
  readonly #transport: RelayedTransport;
  readonly #logger: Logger;
  readonly #server: Server = createServer();

  constructor(transport: RelayedTransport, logger: Logger) {
    this.#transport = transport;
    this.#logger = logger;
  }

  /**
   * Listens for other hosts.
   *
   * @param address - Where.
   * @param handlers - Who answers the calls that are not for the store.
   */
  start(address: HttpAddress, handlers: PeerCallHandlers): Promise<void> {
    this.#server.on("request", (request, response) => {
      if (request.headers[RELAY_HEADER.toLowerCase()] !== undefined) {
        void this.#forwardToStore(request, response);
      } else if (request.headers[CLAIM_HEADER.toLowerCase()] !== undefined) {
        handlers.onClaim(request, response);
      } else {
        handlers.onCall(request, response);
      }
    });
    return openServer(this.#server, address);
  }

  /** Stops listening. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #forwardToStore(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const body = await readBody(request, {
        timeoutMs: BODY_TIMEOUT_MS,
        maxBytes: MAX_BODY_BYTES,
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
