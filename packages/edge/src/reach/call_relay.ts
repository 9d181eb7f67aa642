/**
 * Sends callers' requests to another host that reaches their service while this
 * host does not. The other host makes the attempts and decides the outcome; it
 * must not pass the request on again.
 *
 * A request is sent to a second host only if the first one can't have run it.
 * @module
 */
import { drainBody, readBody } from "@briarhill/common/http/body_reader";
import type {
  HttpResponse,
  HttpResponseHead,
} from "@briarhill/common/http/http_exchange";
import { HttpSender } from "@briarhill/common/http/http_sender";
import type { ResponseMemory } from "@briarhill/common/http/response_memory";
import { PortError } from "@briarhill/common/errors/errors";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { encodePassedOnHeaders } from "@briarhill/platform/ingress/request_head";
import {
  type CallPaths,
  UNREACHED_REASON,
} from "@briarhill/routing/reach/call_paths";
import { Buffer } from "node:buffer";
import type { HostMetrics } from "../observe/host_metrics.ts";
import { encodeHopHeaders } from "../peers/hop_headers.ts";
import { decodeRelayReply, type RelayReply } from "./relay_reply.ts";

const CONNECT_TIMEOUT_MS = 200;
/** The maximum number of connections to one host; requests beyond wait for one until the connection timeout. */
const MAX_CONNECTIONS = 32;
/** Below the time after which the other host closes an idle connection. */
const IDLE_TIMEOUT_MS = 3_000;
/** The time reserved for the response to return to this host, in milliseconds: a few round trips between failure domains. */
const RETURN_MS = 15;

/** A caller's request that another host handles. */
export interface RelayedRequest {
  readonly service: string;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** The deadline of the outcome, on the monotonic clock. */
  readonly deadlineMs: number;
  /** The number of attempts that the other host may make. */
  readonly attempts: number;
  readonly signal: AbortSignal;
}

/** Options of {@link CallRelay}. */
export interface CallRelayOptions {
  /** The account of the responses of endpoints. */
  readonly endpointResponses: ResponseMemory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  readonly paths: CallPaths;
  /** The port on which hosts listen for calls of other hosts. */
  readonly peerPort: number;
  /** The maximum size of a response that is buffered completely, in bytes. */
  readonly maxAnswerBytes: number;
}

/** Sends callers' requests to other hosts. */
export class CallRelay {
  readonly #options: CallRelayOptions;
  readonly #sender: HttpSender;

  constructor(options: CallRelayOptions) {
    this.#options = options;
    this.#sender = new HttpSender({
      port: "peer",
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxConnections: MAX_CONNECTIONS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      maxBodyBytes: options.maxAnswerBytes,
      memory: options.endpointResponses,
    });
  }

  /**
   * Sends a request to the first of these hosts that can handle it, and resolves with
   * the complete response.
   *
   * @param request - The request.
   * @param hosts - The IP addresses of the hosts, in the order in which to try them.
   */
  async sendRequest(
    request: RelayedRequest,
    hosts: readonly string[],
  ): Promise<RelayReply<HttpResponse>> {
    const reply = await this.openRequest(request, hosts);
    if (reply.kind !== "answered") {
      return reply;
    }
    const { response, endpoint } = reply;
    try {
      const body = await readBody(response.stream, {
        timeoutMs: Math.max(1, this.#getRemainingMs(request)),
        maxBytes: this.#options.maxAnswerBytes,
        memory: this.#options.endpointResponses,
        port: "peer",
        operation: "relay",
      });
      return { kind: "answered", response: { ...response, body }, endpoint };
    } catch (error) {
      return { kind: "unknown", reason: getFault(error) };
    }
  }

  /**
   * Sends a request to the first of these hosts that can handle it, and resolves with
   * the head of the response.
   *
   * @param request - The request.
   * @param hosts - The IP addresses of the hosts, in the order in which to try them.
   */
  async openRequest(
    request: RelayedRequest,
    hosts: readonly string[],
  ): Promise<RelayReply<HttpResponseHead>> {
    let reply: RelayReply<HttpResponseHead> = {
      kind: "not-run",
      reason: UNREACHED_REASON,
      retryAfterMs: undefined,
    };
    for (const host of hosts) {
      reply = await this.#openAt(host, request);
      this.#logReply(host, request, reply);
      const isElsewhere = reply.kind === "not-run" &&
        reply.reason === UNREACHED_REASON;
      if (!isElsewhere || request.signal.aborted) {
        break;
      }
    }
    return reply;
  }

  /** Closes all connections to other hosts. */
  close(): void {
    this.#sender.close();
  }

  async #openAt(
    host: string,
    request: RelayedRequest,
  ): Promise<RelayReply<HttpResponseHead>> {
    const { paths, clock, peerPort } = this.#options;
    const remainingMs = Math.max(1, this.#getRemainingMs(request));
    try {
      const head = await this.#sender.open({
        address: { hostname: host, port: peerPort },
        method: request.method,
        path: request.path,
        headers: [
          ...encodePassedOnHeaders(request.rawHeaders, remainingMs),
          ...encodeHopHeaders({ attempts: request.attempts }),
        ],
        body: request.body,
        headTimeoutMs: remainingMs + RETURN_MS,
        signal: request.signal,
      });
      paths.clearFailures(host);
      return this.#applyReply(host, request.service, head, request.signal);
    } catch (error) {
      const isNotRun = error instanceof PortError &&
        error.outcome === "not-run";
      if (isNotRun && !request.signal.aborted) {
        paths.addFailure(host, clock.getMonotonicMs());
      }
      return isNotRun
        ? { kind: "not-run", reason: UNREACHED_REASON, retryAfterMs: undefined }
        : { kind: "unknown", reason: getFault(error) };
    }
  }

  #applyReply(
    host: string,
    service: string,
    head: HttpResponseHead,
    signal: AbortSignal,
  ): RelayReply<HttpResponseHead> {
    const reply = decodeRelayReply(head);
    if (reply.kind === "answered") {
      // An abort after the head has arrived must also end the body.
      const destroyStream = () => head.stream.destroy();
      signal.addEventListener("abort", destroyStream, { once: true });
      head.stream.on(
        "close",
        () => signal.removeEventListener("abort", destroyStream),
      );
      return reply;
    }
    drainBody(head.stream);
    if (reply.kind === "not-run" && reply.reason === UNREACHED_REASON) {
      const { paths, clock } = this.#options;
      paths.addUnreached(host, service, clock.getMonotonicMs());
    }
    return reply;
  }

  #getRemainingMs({ deadlineMs }: RelayedRequest): number {
    return deadlineMs - this.#options.clock.getMonotonicMs() - RETURN_MS;
  }

  #logReply(
    host: string,
    request: RelayedRequest,
    reply: RelayReply<unknown>,
  ): void {
    const { logger, metrics } = this.#options;
    metrics.addRelayedCall(reply.kind);
    logger.info("call-relayed", {
      request: request.attemptId,
      service: request.service,
      peer: host,
      attempts: request.attempts,
      outcome: reply.kind,
      reason: reply.kind === "answered" ? "" : reply.reason,
    });
  }
}

function getFault(error: unknown): string {
  return error instanceof PortError ? error.fault : "fault";
}
