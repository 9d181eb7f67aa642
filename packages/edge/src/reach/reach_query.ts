/**
 * Asks other hosts whether they reach a service, and answers such queries. A host
 * that has lost its links can't tell by itself whether others have lost theirs.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import type { Logger } from "@briarhill/common/logging/logger";
import type { IncomingMessage, ServerResponse } from "node:http";

/** The header that marks a query; its value is the name of the service, percent-encoded. */
export const REACH_HEADER = "Briarhill-Reach";
/** The timeout of a query, in milliseconds: a probe round of the other host, up to 420 ms, and the way. */
const QUERY_TIMEOUT_MS = 600;
const MAX_CONNECTIONS = 4;
const IDLE_TIMEOUT_MS = 3_000;
const MAX_REPLY_BYTES = 1_024;
const STATUS_REACHED = 200;
const STATUS_NOT_REACHED = 404;

/** Options of {@link ReachQuery}. */
export interface ReachQueryOptions {
  /** The account of the responses of other hosts. */
  readonly internalResponses: ResponseMemory;
  readonly logger: Logger;
  /** The port on which hosts listen for calls of other hosts. */
  readonly peerPort: number;
  /** Returns whether this host reaches a service just now. */
  readonly isReached: (service: string) => Promise<boolean>;
}

/** Asks other hosts whether they reach a service. */
export class ReachQuery {
  readonly #options: ReachQueryOptions;
  readonly #sender: HttpSender;

  constructor(options: ReachQueryOptions) {
    this.#options = options;
    this.#sender = new HttpSender({
      port: "peer",
      connectTimeoutMs: QUERY_TIMEOUT_MS,
      maxConnections: MAX_CONNECTIONS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxBodyBytes: MAX_REPLY_BYTES,
      memory: options.internalResponses,
    });
  }

  /**
   * Returns those of some hosts that reach a service; undefined if there are hosts and
   * none of them answers.
   *
   * @param service - The service.
   * @param hosts - The IP addresses of the hosts.
   */
  async fetchReach(
    service: string,
    hosts: readonly string[],
  ): Promise<readonly string[] | undefined> {
    const replies = await Promise.all(
      hosts.map((host) => this.#fetchFrom(service, host)),
    );
    const isAnswered = replies.some((reply) => reply !== undefined);
    return isAnswered || hosts.length === 0
      ? hosts.filter((_, index) => replies[index] === true)
      : undefined;
  }

  /**
   * Answers a query of another host.
   *
   * @param request - The query.
   * @param response - The response to write to.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    request.resume();
    response.on("error", () => undefined);
    const text = String(request.headers[REACH_HEADER.toLowerCase()]);
    const service = decodeName(text);
    const isReached = service !== undefined &&
      await this.#options.isReached(service);
    const status = isReached ? STATUS_REACHED : STATUS_NOT_REACHED;
    response.writeHead(status, { "content-length": 0 }).end();
  }

  /** Closes all connections to other hosts. */
  close(): void {
    this.#sender.close();
  }

  async #fetchFrom(
    service: string,
    host: string,
  ): Promise<boolean | undefined> {
    const { peerPort, logger } = this.#options;
    try {
      const { status } = await this.#sender.send({
        address: { hostname: host, port: peerPort },
        method: "GET",
        path: "/",
        headers: ["Host", host, REACH_HEADER, encodeURIComponent(service)],
        headTimeoutMs: QUERY_TIMEOUT_MS,
      }, QUERY_TIMEOUT_MS);
      return status === STATUS_REACHED;
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      logger.warn("reach-query-failed", {
        service,
        peer: host,
        fault: error.fault,
      });
      return undefined;
    }
  }
}

/** Returns undefined if the name is malformed. */
function decodeName(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch (error) {
    if (!(error instanceof URIError)) {
      throw error;
    }
    return undefined;
  }
}
