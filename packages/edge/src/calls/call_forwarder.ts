/**
 * Forwards requests of callers, and the scoring of samples, to plain services.
 * @module
 */
import type { FailureDomain } from "@briarhill/common/ids/ids";
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import { encodeForwardedHeaders } from "@briarhill/platform/ingress/request_head";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { Buffer } from "node:buffer";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { ForwardedCall } from "./forwarded_call.ts";

/** The share of a route's objective after which another endpoint is tried. */
const HEDGE_SHARE = 0.5;
/** Hedges start no earlier than this multiple of the usual time. */
const HEDGE_RATIO = 3;
/** Weight of the newest time in a route's usual time. */
const SAMPLE_WEIGHT = 0.1;
/** Time for an endpoint's last answer to come back, in milliseconds: some three round trips between failure domains. */
const ENDPOINT_RETURN_MS = 10;

/** A request to forward. */
export interface ForwardRequest {
  readonly route: RouteStructure;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** When the final outcome is due, on the monotonic clock. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** How a forwarded request ended, and what it took. */
export interface ForwardReport {
  readonly outcome: CallOutcome;
  readonly attempts: number;
  /** How many endpoints answered with a failure of their own. */
  readonly failedAnswers: number;
}

/** What a forwarder needs. */
export interface CallForwarderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: SeededRandom;
  readonly directory: EndpointDirectory;
  readonly sender: EndpointSender;
  readonly failureDomain: FailureDomain;
}

/** Forwards whole requests to plain services. */
export class CallForwarder {
  readonly #options: CallForwarderOptions;
  /** The usual time of each route, in milliseconds. */
  readonly #usualMs = new Map<string, number>();

  constructor(options: CallForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards a request until it has a final outcome.
   *
   * @param request - The request.
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
      hedgeAfterMs: this.#getHedgeMs(route),
      signal,
      pickEndpoint: (tried) => this.pickEndpoint(route, tried),
      sendAttempt: (endpoint, ended) => this.#send(request, endpoint, ended),
    });
    const outcome = await call.run();
    const { attempts, failedAnswers } = call;
    return { outcome, attempts, failedAnswers };
  }

  /**
   * Picks an endpoint of one of the route's services.
   *
   * @param route - The route.
   * @param tried - The endpoints that were tried before.
   */
  pickEndpoint(
    route: RouteStructure,
    tried: ReadonlySet<string>,
  ): EndpointStructure | undefined {
    const { directory, clock, failureDomain } = this.#options;
    return directory.board.pickEndpoint({
      candidates: directory.listEndpoints(this.#pickService(route)),
      tried,
      failureDomain,
      nowMs: clock.getMonotonicMs(),
    });
  }

  /** Services of a split get their share of requests by chance. */
  #pickService({ targets }: RouteStructure): string {
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    let point = targets.length > 1 ? total * this.#options.random.getUnit() : 0;
    for (const { service, weight } of targets) {
      point -= weight;
      if (point < 0) {
        return service;
      }
    }
    return targets[0]?.service ?? "";
  }

  async #send(
    request: ForwardRequest,
    endpoint: EndpointStructure,
    signal: AbortSignal,
  ): ReturnType<EndpointSender["send"]> {
    const { clock, sender, directory } = this.#options;
    const startMs = clock.getMonotonicMs();
    const leftMs = request.deadlineMs - startMs - ENDPOINT_RETURN_MS;
    const sent = await sender.send({
      endpoint,
      attemptId: request.attemptId,
      method: request.method,
      path: request.path,
      headers: encodeForwardedHeaders(request.rawHeaders, {
        endpoint: endpoint.id,
        deadlineMs: leftMs,
      }),
      body: request.body,
      timeoutMs: Math.max(1, request.deadlineMs - startMs),
      signal,
    });
    if (!sent.answer.isRefused && sent.answer.status < 500) {
      const tookMs = clock.getMonotonicMs() - startMs;
      const usualMs = this.#usualMs.get(request.route.name) ?? tookMs;
      directory.board.getLoad(endpoint.id).addPace(
        Math.min(10, tookMs / Math.max(1, usualMs)),
      );
      this.#usualMs.set(
        request.route.name,
        usualMs + SAMPLE_WEIGHT * (tookMs - usualMs),
      );
    }
    return sent;
  }

  #getHedgeMs(route: RouteStructure): number {
    const usualMs = this.#usualMs.get(route.name) ?? 0;
    return Math.max(HEDGE_SHARE * route.objectiveMs, HEDGE_RATIO * usualMs);
  }
}
