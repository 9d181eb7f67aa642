/**
 * Forwards callers' requests and sample scoring calls to plain services, with
 * retries and hedging. Only a request of an idempotent route may run more than
 * once.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import { encodeForwardedHeaders } from "@briarhill/platform/ingress/request_head";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { Buffer } from "node:buffer";
import type { CrashGuard, GuardedRequest } from "../crashes/crash_guard.ts";
import { sendGuarded } from "../crashes/guarded_send.ts";
import type { AcceptedPlacement } from "../origins/stream_origins.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type {
  Admission,
  EndpointAdmission,
} from "../limits/endpoint_admission.ts";
import type { RequestPurpose } from "../limits/observed_limits.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import type { AttemptAnswer, CallOutcome } from "./call_outcome.ts";
import { ForwardedCall } from "./forwarded_call.ts";

/** A hedged attempt starts no earlier than this fraction of the route's objective. */
const HEDGE_OBJECTIVE_RATIO = 0.5;
/** A hedged attempt starts no earlier than this multiple of the route's average response time. */
const HEDGE_AVERAGE_RATIO = 3;
/** The weight of the newest response time in the moving average of a route. */
const AVERAGE_UPDATE_WEIGHT = 0.1;
/** The time reserved for the endpoint's response to arrive, in milliseconds: about three round trips between failure domains. */
const RESPONSE_RETURN_MS = 10;

/** The part of the route's objective for which a live call waits for a permit; the endpoint needs the rest. */
const LIVE_WAIT_OBJECTIVE_RATIO = 0.5;
/** The time for which a scoring call waits for a permit, in milliseconds; no caller waits for a single score. */
const SCORING_WAIT_MS = 1_000;

/** A caller's request to forward to a plain service. */
export interface ForwardRequest {
  readonly route: RouteStructure;
  readonly purpose: RequestPurpose;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** The deadline of the final outcome, on the monotonic clock. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** The outcome of a forwarded request and its number of attempts. */
export interface ForwardReport {
  readonly outcome: CallOutcome;
  readonly attempts: number;
  /** The number of attempts that the endpoint answered with a failure status. */
  readonly failures: number;
}

/** Options of {@link CallForwarder}. */
export interface CallForwarderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: SeededRandom;
  readonly directory: EndpointDirectory;
  readonly sender: EndpointSender;
  readonly admission: EndpointAdmission;
  readonly crashGuard: CrashGuard;
}

/** Forwards requests whose body has been read completely to plain services. */
export class CallForwarder {
  readonly #options: CallForwarderOptions;
  /** The moving average of the response time of each route, in milliseconds. */
  readonly #averageMs = new Map<string, number>();

  constructor(options: CallForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards a request, with retries and hedging, until it has a final outcome.
   *
   * @param request - The request to forward.
   */
  async forward(
    request: ForwardRequest,
  ): Promise<ForwardReport> {
    const { route, signal, deadlineMs } = request;
    const { clock, logger } = this.#options;
    const call = new ForwardedCall({
      clock,
      logger,
      deadlineMs,
      maxAttempts: Math.max(1, route.maxAttempts),
      isRepeatable: route.kind === "idempotent",
      hedgeAfterMs: this.#getHedgeDelayMs(route),
      signal,
      admitAttempt: (attempt) =>
        this.admitAttempt(route, {
          purpose: request.purpose,
          guarded: getGuarded(request),
          ...attempt,
        }),
      sendAttempt: (endpoint, attemptSignal) =>
        this.#send(request, endpoint, attemptSignal),
    });
    const outcome = await call.run();
    const { attempts, failures } = call;
    return { outcome, attempts, failures };
  }

  /**
   * Picks an endpoint of one of the route's target services, with the permit that it needs.
   *
   * @param route - The route of the request.
   * @param attempt - What the request is for, its content if endpoints may end under it, the ids of the endpoints that earlier
   * attempts were sent to, whether one of them is in flight, and the signal that cancels the request.
   */
  admitAttempt(
    route: RouteStructure,
    attempt: {
      readonly purpose: RequestPurpose;
      readonly guarded: GuardedRequest | undefined;
      readonly tried: ReadonlySet<string>;
      readonly isHedge: boolean;
      readonly signal: AbortSignal;
      /** Restricts the endpoints of a stream. */
      readonly placement?: AcceptedPlacement;
    },
  ): Promise<Admission> {
    const { directory, admission } = this.#options;
    const { purpose, guarded, placement, ...rest } = attempt;
    const service = placement?.service ?? this.#pickService(route);
    const candidates = directory.listEndpoints(service).filter((endpoint) =>
      placement?.accepts(endpoint) ?? true
    );
    const decision = this.#options.crashGuard.decideRun(guarded, candidates);
    if (decision.kind === "rejected") {
      const { retryAfterMs } = decision;
      const reason = "crashes-endpoints";
      return Promise.resolve({ kind: "rejected", reason, retryAfterMs });
    }
    const isTrial = decision.kind === "trial";
    if (isTrial && attempt.isHedge) {
      return Promise.resolve({ kind: "none" });
    }
    const isScoring = purpose === "scoring";
    return admission.admit({
      ...rest,
      service,
      flow: isScoring ? "training" : "live",
      priority: route.priority,
      candidates: isTrial ? [decision.endpoint] : candidates,
      maxWaitMs: isScoring
        ? SCORING_WAIT_MS
        : LIVE_WAIT_OBJECTIVE_RATIO * route.objectiveMs,
    });
  }

  /** Picks the service at random, weighted by the route's traffic split. */
  #pickService({ targets }: RouteStructure): string {
    const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
    let remainingWeight = targets.length > 1
      ? totalWeight * this.#options.random.getFloat()
      : 0;
    for (const { service, weight } of targets) {
      remainingWeight -= weight;
      if (remainingWeight < 0) {
        return service;
      }
    }
    return targets[0]?.service ?? "";
  }

  async #send(
    request: ForwardRequest,
    endpoint: EndpointStructure,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    const { clock, directory } = this.#options;
    const startMs = clock.getMonotonicMs();
    const remainingMs = request.deadlineMs - startMs - RESPONSE_RETURN_MS;
    const attemptAnswer = await sendGuarded({
      endpoint,
      purpose: request.purpose,
      attemptId: request.attemptId,
      method: request.method,
      path: request.path,
      headers: encodeForwardedHeaders(request.rawHeaders, {
        endpoint: endpoint.id,
        deadlineMs: remainingMs,
      }),
      body: request.body,
      timeoutMs: Math.max(1, request.deadlineMs - startMs),
      signal,
    }, { ...this.#options, guarded: getGuarded(request) });
    if (!attemptAnswer.answer.isRefused && attemptAnswer.answer.status < 500) {
      const durationMs = clock.getMonotonicMs() - startMs;
      const averageMs = this.#averageMs.get(request.route.name) ?? durationMs;
      directory.endpointPicker.getLoad(endpoint.id).addLatencyRatio(
        Math.min(10, durationMs / Math.max(1, averageMs)),
      );
      this.#averageMs.set(
        request.route.name,
        averageMs + AVERAGE_UPDATE_WEIGHT * (durationMs - averageMs),
      );
    }
    return attemptAnswer;
  }

  #getHedgeDelayMs(route: RouteStructure): number {
    const averageMs = this.#averageMs.get(route.name) ?? 0;
    return Math.max(
      HEDGE_OBJECTIVE_RATIO * route.objectiveMs,
      HEDGE_AVERAGE_RATIO * averageMs,
    );
  }
}

/** Scoring calls belong to samples, which are owed whatever endpoints end under them. */
function getGuarded(request: ForwardRequest): GuardedRequest | undefined {
  return request.purpose === "call" ? request : undefined;
}
