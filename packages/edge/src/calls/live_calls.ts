/**
 * Handles live calls to plain services and streams. A failure response must state
 * truthfully whether the request has not run (503) or may have run (502, 504).
 * @module
 */
import { encodeRelayedHeaders } from "@briarhill/platform/ingress/request_head";
import type { HostMetrics } from "../observe/host_metrics.ts";
import { decodeAttempts, encodeOutcome } from "../peers/hop_headers.ts";
import type { ForwardReport, ForwardRequest } from "./call_forwarder.ts";
import { writeCallFailure } from "./call_failure.ts";
import { writeReply } from "./caller_reply.ts";
import type { RoutedExchange } from "./caller_exchange.ts";
import { LiveStreams, type LiveStreamsOptions } from "./live_streams.ts";

/** The time reserved for the response to reach the caller, in milliseconds. */
const CALLER_RETURN_MS = 25;
/** The maximum number of calls of other hosts in progress; it bounds the memory that their bodies take. */
const MAX_PASSED_ON_CALLS = 64;
/** The retry delay of a call of another host beyond that number, in milliseconds. */
const BUSY_RETRY_MS = 200;

/** Options of {@link LiveCalls}. */
export interface LiveCallsOptions extends LiveStreamsOptions {
  readonly metrics: HostMetrics;
}

/** Handles live calls to plain services and streams. */
export class LiveCalls {
  readonly #options: LiveCallsOptions;
  readonly #streams: LiveStreams;
  #passedOnCalls = 0;

  constructor(options: LiveCallsOptions) {
    this.#options = options;
    this.#streams = new LiveStreams(options);
  }

  /**
   * Handles a request for a plain service or a stream.
   *
   * @param exchange - The request, its route and the response to write.
   */
  async handle(exchange: RoutedExchange): Promise<void> {
    if (!exchange.isForwarded) {
      return await this.#handleCall(exchange);
    }
    if (this.#passedOnCalls >= MAX_PASSED_ON_CALLS) {
      const reason = "busy";
      exchange.response.setHeader(
        ...encodeOutcome({ kind: "refused", reason }),
      );
      return writeCallFailure(exchange.response, {
        kind: "refused",
        reason,
        retryAfterMs: BUSY_RETRY_MS,
      });
    }
    this.#passedOnCalls++;
    await this.#handleCall(exchange).finally(() => this.#passedOnCalls--);
  }

  async #handleCall(exchange: RoutedExchange): Promise<void> {
    const { response, endSignal } = exchange;
    const ended = new AbortController();
    const end = () => ended.abort();
    response.on("close", end);
    endSignal.addEventListener("abort", end);
    if (response.destroyed || endSignal.aborted) {
      end();
    }
    await (exchange.route.kind === "stream"
      ? this.#streams.handle(exchange, ended.signal)
      : this.#handleBuffered(exchange, ended.signal));
  }

  async #handleBuffered(
    exchange: RoutedExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, forwarder, metrics } = this.#options;
    const { response, route, arrivedAtMs } = exchange;
    const report = await forwarder.forward(
      createForwardRequest(exchange, signal),
    );
    const { outcome } = report;
    if (exchange.isForwarded && !response.headersSent) {
      response.setHeader(...encodeOutcome(outcome));
    }
    if (outcome.kind === "answered") {
      const { status, rawHeaders, body } = outcome.httpAnswer;
      writeReply(response, {
        status,
        headers: encodeRelayedHeaders(rawHeaders),
        body,
      });
    } else {
      writeCallFailure(response, outcome);
    }
    const durationMs = clock.getMonotonicMs() - arrivedAtMs;
    metrics.addCall(route.name, outcome.kind, durationMs);
    this.#logReport(exchange, report, durationMs);
  }

  #logReport(
    { route, head, response, workspace }: RoutedExchange,
    { outcome, attempts }: ForwardReport,
    durationMs: number,
  ): void {
    this.#options.logger.info("call-ended", {
      request: head.attemptId,
      route: route.name,
      ...(workspace === undefined ? {} : { workspace }),
      outcome: outcome.kind,
      reason: outcome.kind === "answered" ? "" : outcome.reason,
      endpoint: outcome.kind === "answered" ? outcome.endpoint : "",
      status: response.statusCode,
      ...(outcome.kind === "refused" && outcome.retryAfterMs !== undefined
        ? { retryAfterMs: Math.round(outcome.retryAfterMs) }
        : {}),
      attempts,
      tookMs: Math.round(durationMs),
    });
  }
}

function createForwardRequest(
  { request, rawHeaders, workspace, ...exchange }: RoutedExchange,
  signal: AbortSignal,
): ForwardRequest {
  const { route, head, arrivedAtMs, body, isForwarded } = exchange;
  return {
    route,
    purpose: "call",
    attemptId: head.attemptId,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    rawHeaders,
    body,
    deadlineMs: arrivedAtMs +
      Math.min(head.deadlineMs - CALLER_RETURN_MS, route.timeoutMs),
    signal,
    ...(workspace === undefined ? {} : { workspace }),
    ...(isForwarded
      ? { assignedAttempts: decodeAttempts(request.headers) }
      : {}),
  };
}
