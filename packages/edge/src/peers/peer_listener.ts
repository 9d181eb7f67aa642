/**
 * Serves other hosts: relays store calls for hosts that the store rejects, and
 * answers calls about lots that they forward. A relayed call must not be relayed
 * again.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import { openServer } from "@briarhill/common/http/open_server";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { readRequestBody } from "../calls/request_body.ts";
import { ConnectionDrain } from "../http/connection_drain.ts";
import type { ConnectionGuard } from "../http/connection_guard.ts";
import type { ConnectionLimits } from "../http/connection_limits.ts";
import { RequestQueue } from "../http/request_queue.ts";
import { PERMIT_HEADER } from "../limits/permit_owner.ts";
import { CLAIM_HEADER } from "../lots/lot_claims.ts";
import { REACH_HEADER } from "../reach/reach_query.ts";
import type { HostMemory } from "../memory/host_memory.ts";
import { RELAY_HEADER, type RelayedTransport } from "./relayed_transport.ts";

const BODY_TIMEOUT_MS = 2_000;
/** The maximum size of a store call, in bytes: the platform's limit of one append, rounded up. */
const MAX_BODY_BYTES = 4_194_304;
const STATUS_UNAVAILABLE = 503;

/** Handles a call of another host. */
export type PeerCallHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Handlers of the calls of other hosts that are not for the store. */
export interface PeerCallHandlers {
  /** Handles queries whether lots run at this host. */
  readonly onClaim: PeerCallHandler;
  /** Handles calls about permits of endpoints that have limits. */
  readonly onPermit: PeerCallHandler;
  /** Handles queries whether this host reaches a service. */
  readonly onReach: PeerCallHandler;
  /** Handles calls that another host forwards for its client. */
  readonly onCall: PeerCallHandler;
}

/** Options of {@link PeerListener}. */
export interface PeerListenerOptions {
  readonly logger: Logger;
  readonly guard: ConnectionGuard;
  readonly memory: HostMemory;
  readonly connectionLimits: ConnectionLimits;
}

/** Serves the calls of other hosts. */
export class PeerListener {
  readonly #transport: RelayedTransport;
  readonly #options: PeerListenerOptions;
  readonly #server: Server = createServer();
  readonly #drain = new ConnectionDrain();

  /**
   * @param transport - Calls the store.
   * @param options - The logger, and the limits of connections and bytes.
   */
  constructor(transport: RelayedTransport, options: PeerListenerOptions) {
    this.#transport = transport;
    this.#options = options;
    this.#drain.addServer(this.#server);
    options.guard.addServer(this.#server, options.connectionLimits.peers);
  }

  /** The number of open connections. */
  get openConnections(): number {
    return this.#drain.openConnections;
  }

  /**
   * Starts to listen for calls of other hosts.
   *
   * @param address - The address to listen on.
   * @param handlers - The handlers of the calls that are not for the store.
   */
  start(address: HttpAddress, handlers: PeerCallHandlers): Promise<void> {
    const queue = new RequestQueue((request, response) => {
      if (request.headers[RELAY_HEADER.toLowerCase()] !== undefined) {
        void this.#forwardToStore(request, response);
      } else if (request.headers[CLAIM_HEADER.toLowerCase()] !== undefined) {
        handlers.onClaim(request, response);
      } else if (request.headers[PERMIT_HEADER.toLowerCase()] !== undefined) {
        handlers.onPermit(request, response);
      } else if (request.headers[REACH_HEADER.toLowerCase()] !== undefined) {
        handlers.onReach(request, response);
      } else {
        handlers.onCall(request, response);
      }
    });
    queue.addServer(this.#server);
    return openServer(this.#server, address);
  }

  /** Stops listening, closes idle connections, and closes the others after their responses. */
  close(): void {
    this.#drain.close();
  }

  /** Closes all connections, whatever is under way on them. */
  closeAll(): void {
    this.#drain.closeAll();
  }

  async #forwardToStore(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const timer = setTimeout(() => request.destroy(), BODY_TIMEOUT_MS);
    try {
      const result = await readRequestBody(request, {
        maxBytes: MAX_BODY_BYTES,
        memory: this.#options.memory,
      }).finally(() => clearTimeout(timer));
      if (result.kind === "closed") {
        response.destroy();
        return;
      }
      if (result.kind === "refused") {
        response.writeHead(STATUS_UNAVAILABLE).end();
        return;
      }
      const { body, holding } = result;
      await this.#callStore(request, { body, response })
        .finally(() => holding.release());
    } catch (error) {
      this.#options.logger.error("relayed-call-failed", error, {
        path: (request.url ?? "").split("?", 1)[0] ?? "",
      });
      const isNotRun = error instanceof PortError &&
        error.outcome === "not-run";
      // Closing the connection without a response reports the unknown outcome as unknown.
      isNotRun
        ? response.writeHead(STATUS_UNAVAILABLE).end()
        : response.destroy();
    }
  }

  async #callStore(
    request: IncomingMessage,
    { body, response }: {
      readonly body: Buffer;
      readonly response: ServerResponse;
    },
  ): Promise<void> {
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
  }
}
