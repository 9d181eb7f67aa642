/**
 * Handles live calls to plain services and streams. A failure response must state
 * truthfully whether the request has not run (503) or may have run (502, 504).
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  encodeForwardedHeaders,
  encodeRelayedHeaders,
} from "@briarhill/platform/ingress/request_head";
import { LIMITED_REASON } from "@briarhill/routing/attempts/attempt_plan";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import type { CallForwarder, ForwardReport } from "./call_forwarder.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { writeProblemReply, writeReply } from "./caller_reply.ts";
import type { RoutedExchange } from "./ingress.ts";
import { type StreamOutcome, streamResponse } from "./stream_call.ts";

/** The time reserved for the response to reach the caller, in milliseconds. */
const CALLER_RETURN_MS = 25;
/** The retry delay after a refusal, in milliseconds: the usual time until an endpoint has a free slot. */
const REFUSED_RETRY_AFTER_MS = 50;
const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
const STATUS_TIMEOUT = 504;

/** Options of {@link LiveCalls}. */
export interface LiveCallsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly forwarder: CallForwarder;
  readonly sender: EndpointSender;
  readonly metrics: HostMetrics;
}

/** Handles live calls to plain services and streams. */
export class LiveCalls {
  readonly #options: LiveCallsOptions;

  constructor(options: LiveCallsOptions) {
    this.#options = options;
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
      ? this.#handleStream(exchange, callerClosed.signal)
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
      this.#writeFailure(exchange, outcome);
    }
    const durationMs = clock.getMonotonicMs() - arrivedAtMs;
    metrics.addCall(route.name, outcome.kind, durationMs);
    this.#logReport(exchange, report, durationMs);
  }

  #writeFailure(
    { response }: RoutedExchange,
    outcome: Exclude<CallOutcome, { kind: "answered" }>,
  ): void {
    if (outcome.kind === "refused") {
      writeProblemReply(response, {
        status: STATUS_UNAVAILABLE,
        title: `not run: ${outcome.reason}`,
        retryAfterMs: outcome.retryAfterMs ?? REFUSED_RETRY_AFTER_MS,
      });
      return;
    }
    const isTimeout = outcome.reason === "deadline";
    writeProblemReply(response, {
      status: isTimeout ? STATUS_TIMEOUT : STATUS_BAD_GATEWAY,
      title: `may have run: ${outcome.reason}`,
    });
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

  async #handleStream(
    exchange: RoutedExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, logger } = this.#options;
    const { route, head, arrivedAtMs } = exchange;
    const tried = new Set<string>();
    const { outcome, retryAfterMs } = await this.#runStream(
      exchange,
      tried,
      signal,
    );
    if (outcome === "not-run" || outcome === "unknown") {
      this.#writeStreamFailure(exchange, outcome, retryAfterMs);
    }
    logger.info("stream-ended", {
      request: head.attemptId,
      route: route.name,
      outcome,
      attempts: tried.size,
      ...(retryAfterMs === undefined
        ? {}
        : { retryAfterMs: Math.round(retryAfterMs) }),
      tookMs: Math.round(clock.getMonotonicMs() - arrivedAtMs),
    });
  }

  /** Tries endpoints until one has run the request; adds them to `tried`. */
  async #runStream(
    exchange: RoutedExchange,
    tried: Set<string>,
    signal: AbortSignal,
  ): Promise<{
    readonly outcome: StreamOutcome;
    readonly retryAfterMs?: number;
  }> {
    const { route } = exchange;
    const attempt = {
      purpose: "stream",
      tried,
      isHedge: false,
      signal,
    } as const;
    let outcome: StreamOutcome = "not-run";
    while (outcome === "not-run" && tried.size < route.maxAttempts) {
      const admission = await this.#options.forwarder.admitAttempt(
        route,
        attempt,
      );
      if (admission.kind === "limited") {
        return { outcome, retryAfterMs: admission.retryAfterMs };
      }
      const isUsable = admission.kind === "admitted" &&
        !tried.has(admission.endpoint.id) && !signal.aborted;
      if (!isUsable) {
        break;
      }
      tried.add(admission.endpoint.id);
      outcome = await this.#streamAttempt(
        exchange,
        admission.endpoint,
        signal,
      );
    }
    return { outcome };
  }

  #writeStreamFailure(
    exchange: RoutedExchange,
    outcome: "not-run" | "unknown",
    retryAfterMs: number | undefined,
  ): void {
    const reason = retryAfterMs === undefined ? "stream" : LIMITED_REASON;
    this.#writeFailure(
      exchange,
      outcome === "not-run"
        ? { kind: "refused", reason, retryAfterMs }
        : { kind: "failed", reason },
    );
  }

  #streamAttempt(
    exchange: RoutedExchange,
    endpoint: EndpointStructure,
    signal: AbortSignal,
  ): Promise<StreamOutcome> {
    const { request, response, route, head, arrivedAtMs } = exchange;
    const { clock, sender, logger } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const remainingMs = Math.max(1, arrivedAtMs + head.deadlineMs - nowMs);
    return streamResponse(response, {
      sender,
      logger,
      clock,
      remainingMs,
      request: {
        endpoint,
        purpose: "stream",
        attemptId: head.attemptId,
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: encodeForwardedHeaders(request.rawHeaders, {
          endpoint: endpoint.id,
          deadlineMs: remainingMs,
        }),
        body: exchange.body,
        timeoutMs: Math.min(remainingMs, route.timeoutMs),
        signal,
      },
    });
  }
}
