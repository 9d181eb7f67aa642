/**
 * Forwards callers' requests and sample scoring calls to plain services, with
 * retries and hedging. Only a request of an idempotent route may run more than
 * once.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { encodeForwardedHeaders } from "@briarhill/platform/ingress/request_head";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { Buffer } from "node:buffer";
import type { GuardedRequest } from "../crashes/crash_guard.ts";
import { sendGuarded } from "../crashes/guarded_send.ts";
import type { RequestPurpose } from "../limits/observed_limits.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import type { UsageMeter } from "../usage/usage_meter.ts";
import type { CallRelay } from "../reach/call_relay.ts";
import type {
  AttemptAdmission,
  AttemptAnswer,
  CallOutcome,
} from "./call_outcome.ts";
import {
  type AttemptNeed,
  RouteAdmission,
  type RouteAdmissionOptions,
} from "./route_admission.ts";
import { ForwardedCall } from "./forwarded_call.ts";

/** A hedged attempt starts no earlier than this fraction of the route's objective. */
const HEDGE_OBJECTIVE_RATIO = 0.5;
/** A hedged attempt starts no earlier than this multiple of the route's average response time. */
const HEDGE_AVERAGE_RATIO = 3;
/** The weight of the newest response time in the moving average of a route. */
const AVERAGE_UPDATE_WEIGHT = 0.1;
const FIRST_FAILURE_STATUS = 500;
/** The time reserved for the endpoint's response to arrive, in milliseconds: about three round trips between failure domains. */
const RESPONSE_RETURN_MS = 10;

/** A caller's request to forward to a plain service. */
export interface ForwardRequest {
  readonly route: RouteStructure;
  readonly purpose: RequestPurpose;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  /** Hold the name of the workspace already, if there is one. */
  readonly rawHeaders: readonly string[];
  /** The name of the caller's workspace, if it has one. */
  readonly workspace?: string;
  readonly body: Buffer;
  /** The deadline of the final outcome, on the monotonic clock. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** The number of attempts that the host which has passed the request on allows; undefined for a request of this host's caller. */
  readonly assignedAttempts?: number;
}

/** The outcome of a forwarded request and its number of attempts. */
export interface ForwardReport {
  readonly outcome: CallOutcome;
  readonly attempts: number;
  /** The number of attempts that the endpoint answered with a failure status. */
  readonly failures: number;
}

/** Options of {@link CallForwarder}. */
export interface CallForwarderOptions extends RouteAdmissionOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly sender: EndpointSender;
  readonly relay: CallRelay;
  readonly usage: UsageMeter;
}

/** Forwards requests whose body has been read completely to plain services. */
export class CallForwarder {
  readonly #options: CallForwarderOptions;
  readonly #admission: RouteAdmission;
  /** The moving average of the response time of each route, in milliseconds. */
  readonly #averageMs = new Map<string, number>();

  constructor(options: CallForwarderOptions) {
    this.#options = options;
    this.#admission = new RouteAdmission(options);
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
      maxAttempts: Math.max(
        1,
        Math.min(route.maxAttempts, request.assignedAttempts ?? Infinity),
      ),
      isRepeatable: route.kind === "idempotent",
      hedgeAfterMs: this.#getHedgeDelayMs(route),
      signal,
      admitAttempt: (attempt) =>
        this.admitAttempt(route, {
          purpose: request.purpose,
          workspace: request.workspace,
          guarded: getGuarded(request),
          isRelayed: request.assignedAttempts !== undefined,
          ...attempt,
        }),
      relayAttempts: ({ service, hosts }, options) =>
        this.#options.relay.sendRequest(
          { ...request, ...options, service },
          hosts,
        ),
      sendAttempt: (endpoint, attemptSignal) =>
        this.#send(request, endpoint, attemptSignal),
    });
    const outcome = await call.run();
    const { attempts, failures } = call;
    return { outcome, attempts, failures };
  }

  /**
   * Decides where an attempt of a request is made.
   *
   * @param route - The route of the request.
   * @param need - What the request needs.
   */
  admitAttempt(
    route: RouteStructure,
    need: AttemptNeed,
  ): Promise<AttemptAdmission> {
    return this.#admission.admitAttempt(route, need);
  }

  async #send(
    request: ForwardRequest,
    endpoint: EndpointStructure,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    const { clock, directory } = this.#options;
    const startMs = clock.getMonotonicMs();
    const remainingMs = request.deadlineMs - startMs - RESPONSE_RETURN_MS;
    const attempt = {
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
    };
    const guard = { ...this.#options, guarded: getGuarded(request) };
    const attemptAnswer = await this.#options.usage.measureAttempt(
      request.workspace,
      {
        send: () => sendGuarded(attempt, guard),
        isRefused: ({ answer }) => answer.isRefused,
      },
    );
    const { isRefused, status } = attemptAnswer.answer;
    if (!isRefused && status >= FIRST_FAILURE_STATUS) {
      directory.endpointPicker.getLoad(endpoint.id).estimate.addFailure();
    } else if (!isRefused) {
      const durationMs = clock.getMonotonicMs() - startMs;
      this.#addLatency(request.route, endpoint, durationMs);
    }
    return attemptAnswer;
  }

  #addLatency(
    { name }: RouteStructure,
    endpoint: EndpointStructure,
    durationMs: number,
  ): void {
    const averageMs = this.#averageMs.get(name) ?? durationMs;
    const { endpointPicker } = this.#options.directory;
    endpointPicker.getLoad(endpoint.id).addLatencyRatio(
      Math.min(10, durationMs / Math.max(1, averageMs)),
    );
    this.#averageMs.set(
      name,
      averageMs + AVERAGE_UPDATE_WEIGHT * (durationMs - averageMs),
    );
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
