/**
 * Handles live calls whose response is a stream of events. Another endpoint may be
 * tried only while none has run the request.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { encodeForwardedHeaders } from "@briarhill/platform/ingress/request_head";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type {
  CrashGuard,
  GuardedEnd,
  GuardedRequest,
} from "../crashes/crash_guard.ts";
import { encodeOutcome } from "../peers/hop_headers.ts";
import type { UsageMeter } from "../usage/usage_meter.ts";
import type { CallRelay } from "../reach/call_relay.ts";
import {
  type AcceptedPlacement,
  type StreamOrigins,
  UNRECORDED_REJECTION,
} from "../origins/stream_origins.ts";
import type { CallForwarder } from "./call_forwarder.ts";
import type { AttemptNeed } from "./route_admission.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import type { RoutedExchange } from "./caller_exchange.ts";
import type { AttemptAdmission } from "./call_outcome.ts";
import { type StreamOutcome, streamResponse } from "./stream_call.ts";
import {
  createGuarded,
  forwardStream,
  getMaxAttempts,
  type StreamReport,
  writeStreamFailure,
} from "./stream_relay.ts";

/** What the outcome of an attempt says about its endpoint. */
const GUARDED_ENDS: Readonly<Record<StreamOutcome, GuardedEnd>> = {
  whole: "answered",
  cut: "lost",
  "not-run": "not-run",
  unknown: "lost",
};

interface StreamAttempt {
  readonly guarded: GuardedRequest;
  readonly endpoint: EndpointStructure;
  readonly signal: AbortSignal;
}

/** Options of {@link LiveStreams}. */
export interface LiveStreamsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly forwarder: CallForwarder;
  readonly sender: EndpointSender;
  readonly crashGuard: CrashGuard;
  readonly relay: CallRelay;
  readonly streamOrigins: StreamOrigins;
  readonly usage: UsageMeter;
}

/** Handles live calls whose response is a stream. */
export class LiveStreams {
  readonly #options: LiveStreamsOptions;

  constructor(options: LiveStreamsOptions) {
    this.#options = options;
  }

  /**
   * Handles a request for a stream.
   *
   * @param exchange - The request, its route and the response to write.
   * @param signal - Aborts when the caller has disconnected.
   */
  async handle(
    exchange: RoutedExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, logger } = this.#options;
    const { route, head, arrivedAtMs } = exchange;
    const tried = new Set<string>();
    const { outcome, rejection } = await this.#runPlaced(
      exchange,
      tried,
      signal,
    );
    if (outcome === "not-run" || outcome === "unknown") {
      writeStreamFailure(exchange, { outcome, rejection });
    }
    logger.info("stream-ended", {
      request: head.attemptId,
      route: route.name,
      outcome,
      attempts: tried.size,
      ...(rejection === undefined ? {} : {
        reason: rejection.reason,
        retryAfterMs: Math.round(rejection.retryAfterMs),
      }),
      tookMs: Math.round(clock.getMonotonicMs() - arrivedAtMs),
    });
  }

  async #runPlaced(
    exchange: RoutedExchange,
    tried: Set<string>,
    signal: AbortSignal,
  ): Promise<StreamReport> {
    const { route, head } = exchange;
    const placement = await this.#options.streamOrigins
      .decidePlacement(head, route);
    return placement.kind === "rejected"
      ? { outcome: "not-run", rejection: placement }
      : await this.#runStream(exchange, { placement, tried, signal });
  }

  /** Tries endpoints until one has run the request; adds them to `tried`. */
  async #runStream(
    exchange: RoutedExchange,
    { placement, tried, signal }: {
      readonly placement: AcceptedPlacement;
      readonly tried: Set<string>;
      readonly signal: AbortSignal;
    },
  ): Promise<StreamReport> {
    const guarded = createGuarded(exchange);
    const need = createNeed(exchange, guarded);
    const maxAttempts = getMaxAttempts(exchange);
    let report: StreamReport = { outcome: "not-run" };
    while (
      report.outcome === "not-run" && report.rejection === undefined &&
      tried.size < maxAttempts
    ) {
      const admission = await this.#options.forwarder.admitAttempt(
        exchange.route,
        { ...need, placement, tried, signal },
      );
      if (admission.kind === "rejected") {
        return { outcome: "not-run", rejection: admission };
      }
      if (admission.kind === "relayed") {
        const attempts = maxAttempts - tried.size;
        const options = { ...this.#options, admission, attempts, signal };
        return await forwardStream(exchange, options);
      }
      const endpoint = getUntried(admission, tried);
      if (endpoint === undefined || signal.aborted) {
        break;
      }
      tried.add(endpoint.id);
      const attempt = { guarded, endpoint, signal };
      report = await this.#runRecorded(exchange, attempt, placement);
    }
    return report;
  }

  /** Runs an attempt once the software version of its endpoint is recorded. */
  async #runRecorded(
    exchange: RoutedExchange,
    attempt: StreamAttempt,
    placement: AcceptedPlacement,
  ): Promise<StreamReport> {
    const { route, head } = exchange;
    const isRecorded = await this.#options.streamOrigins.recordStart(
      head.attemptId,
      {
        route,
        endpoint: attempt.endpoint,
        isResumption: placement.kind === "goes-on",
      },
    );
    return isRecorded
      ? { outcome: await this.#runGuarded(exchange, attempt) }
      : { outcome: "not-run", rejection: UNRECORDED_REJECTION };
  }

  async #runGuarded(
    exchange: RoutedExchange,
    { guarded, endpoint, signal }: StreamAttempt,
  ): Promise<StreamOutcome> {
    const { crashGuard, usage } = this.#options;
    const attempt = crashGuard.createAttempt(guarded, endpoint);
    const sent = { guarded, endpoint, signal };
    const outcome = await usage.measureAttempt(exchange.workspace, {
      send: () => this.#streamAttempt(exchange, sent),
      isRefused: (result) => result === "not-run",
    });
    if (!signal.aborted) {
      await crashGuard.settleAttempt(attempt, GUARDED_ENDS[outcome], outcome);
    }
    return outcome;
  }

  #streamAttempt(
    exchange: RoutedExchange,
    { guarded, endpoint, signal }: StreamAttempt,
  ): Promise<StreamOutcome> {
    const { response, route, head, arrivedAtMs } = exchange;
    const { clock, sender, logger } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const remainingMs = Math.max(1, arrivedAtMs + head.deadlineMs - nowMs);
    if (exchange.isForwarded) {
      const outcome = { kind: "answered", endpoint: endpoint.id } as const;
      response.setHeader(...encodeOutcome(outcome));
    }
    return streamResponse(response, {
      sender,
      logger,
      clock,
      remainingMs,
      request: {
        ...guarded,
        endpoint,
        purpose: "stream",
        headers: encodeForwardedHeaders(guarded.rawHeaders, {
          endpoint: endpoint.id,
          deadlineMs: remainingMs,
        }),
        timeoutMs: Math.min(remainingMs, route.timeoutMs),
        signal,
      },
    });
  }
}

function getUntried(
  admission: AttemptAdmission,
  tried: ReadonlySet<string>,
): EndpointStructure | undefined {
  return admission.kind === "admitted" && !tried.has(admission.endpoint.id)
    ? admission.endpoint
    : undefined;
}

function createNeed(
  { arrivedAtMs, isForwarded, workspace }: RoutedExchange,
  guarded: GuardedRequest,
): Omit<AttemptNeed, "tried" | "signal"> {
  return {
    purpose: "stream",
    workspace,
    guarded,
    isHedge: false,
    startedAtMs: arrivedAtMs,
    isRelayed: isForwarded,
  };
}
