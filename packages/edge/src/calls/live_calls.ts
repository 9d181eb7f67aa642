/**
 * Handles live calls to plain services and streams. A failure response must state
 * truthfully whether the request has not run (503) or may have run (502, 504).
 * @module
 */
import { encodeRelayedHeaders } from "@briarhill/platform/ingress/request_head";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { ForwardReport } from "./call_forwarder.ts";
import { writeCallFailure } from "./call_failure.ts";
import { writeReply } from "./caller_reply.ts";
import type { RoutedExchange } from "./ingress.ts";
import { LiveStreams, type LiveStreamsOptions } from "./live_streams.ts";

/** The time reserved for the response to reach the caller, in milliseconds. */
const CALLER_RETURN_MS = 25;

/** Options of {@link LiveCalls}. */
export interface LiveCallsOptions extends LiveStreamsOptions {
  readonly metrics: HostMetrics;
}

/** Handles live calls to plain services and streams. */
export class LiveCalls {
  readonly #options: LiveCallsOptions;
  readonly #streams: LiveStreams;

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
    const callerClosed = new AbortController();
    exchange.response.on("close", () => callerClosed.abort());
    if (exchange.response.destroyed) {
      callerClosed.abort();
    }
    await (exchange.route.kind === "stream"
      ? this.#streams.handle(exchange, callerClosed.signal)
      : this.#handleBuffered(exchange, callerClosed.signal));
  }

  async #handleBuffered(
    exchange: RoutedExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, forwarder, metrics } = this.#options;
    const { request, response, route, head, arrivedAtMs } = exchange;
    const callerDeadlineMs = arrivedAtMs + head.deadlineMs;
    const report = await forwarder.forward({
      route,
      purpose: "call",
      attemptId: head.attemptId,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      rawHeaders: request.rawHeaders,
      body: exchange.body,
      deadlineMs: Math.min(
        callerDeadlineMs - CALLER_RETURN_MS,
        arrivedAtMs + route.timeoutMs,
      ),
      signal,
    });
    const { outcome } = report;
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
    { route, head, response }: RoutedExchange,
    { outcome, attempts }: ForwardReport,
    durationMs: number,
  ): void {
    this.#options.logger.info("call-ended", {
      request: head.attemptId,
      route: route.name,
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
