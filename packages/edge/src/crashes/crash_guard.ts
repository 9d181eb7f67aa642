/**
 * Keeps a request that crashes endpoints from taking one after the other: finds out
 * which endpoints ended while they ran a request, shares it with all hosts, and
 * restricts where such a request may run. Decisions are in `CrashHistory`.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  type CrashDecision,
  CrashHistory,
} from "@briarhill/routing/crashes/crash_history";
import type { CrashRecord } from "@briarhill/routing/crashes/crash_record";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { HostMetrics } from "../observe/host_metrics.ts";
import type { ReachMonitor } from "../reach/reach_monitor.ts";
import { type DoubtfulAttempt, DoubtfulAttempts } from "./doubtful_attempts.ts";
import { EndpointProbe } from "./endpoint_probe.ts";
import { hashRequest, type RequestContent } from "./request_digest.ts";

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  /** Tells what is lost with this host's own links. */
  readonly reach: ReachMonitor;
  /** Returns what is listed of an endpoint, if it may receive requests. */
  readonly getEndpoint: (id: string) => EndpointStructure | undefined;
  /** Called with an ending that this host has found, so that the other hosts learn of it. */
  readonly onFound: (record: CrashRecord) => void;
  /** Called with the endings that a request is no longer suspected of. */
  readonly onCleared: (records: readonly CrashRecord[]) => void;
}

/** A request of a live caller with its content. */
export interface GuardedRequest extends RequestContent {
  readonly attemptId: string;
}

/** How an attempt ended: "lost" if its connection broke before the response was complete. */
export type GuardedEnd = "answered" | "not-run" | "lost";

/** An attempt of a guarded request at an endpoint. */
export interface GuardedAttempt {
  readonly request: GuardedRequest;
  readonly endpoint: EndpointStructure;
  readonly isTrial: boolean;
}

/** Restricts requests that endpoints have ended under. */
export class CrashGuard {
  readonly history = new CrashHistory();
  readonly #options: CrashGuardOptions;
  readonly #probe = new EndpointProbe();
  readonly #doubtful = new DoubtfulAttempts();
  /** The digests of requests in progress, computed only when they are needed. */
  readonly #digests = new WeakMap<GuardedRequest, string>();

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /**
   * Decides where a request may run.
   *
   * @param request - The request; undefined if it is not guarded.
   * @param candidates - The endpoints that could serve it.
   */
  decideRun(
    request: GuardedRequest | undefined,
    candidates: readonly EndpointStructure[],
  ): CrashDecision {
    const { clock, getEndpoint } = this.#options;
    this.#addRecords(
      this.#doubtful.takeRestarted(getEndpoint, clock.getMonotonicMs()),
    );
    if (request === undefined || this.history.size === 0) {
      return { kind: "unrestricted" };
    }
    const decision = this.history.decideRun(this.#getDigest(request), {
      candidates,
      nowMs: clock.getWallMs(),
    });
    if (decision.kind !== "unrestricted") {
      this.#logDecision(request, decision);
    }
    return decision;
  }

  /**
   * Records that a request is sent to an endpoint.
   *
   * @param request - The request.
   * @param endpoint - The endpoint.
   */
  createAttempt(
    request: GuardedRequest,
    endpoint: EndpointStructure,
  ): GuardedAttempt {
    const isTrial = this.history.size > 0 &&
      this.history.getStanding(
          this.#getDigest(request),
          this.#options.clock.getWallMs(),
        ) !== "clear";
    return { request, endpoint, isTrial };
  }

  /**
   * Records how an attempt ended, and resolves once it is known whether the
   * endpoint has ended too.
   *
   * @param attempt - The attempt.
   * @param end - How it ended.
   * @param fault - The fault of a lost attempt.
   */
  async settleAttempt(
    attempt: GuardedAttempt,
    end: GuardedEnd,
    fault = "",
  ): Promise<void> {
    if (end === "answered" && attempt.isTrial) {
      this.#clearRequest(attempt);
    }
    if (end === "lost") {
      await this.#probeEndpoint(attempt, fault);
    }
  }

  /**
   * Records that endpoints are no longer listed.
   *
   * @param ids - The ids of the endpoints.
   */
  applyRemovals(ids: readonly string[]): void {
    this.#addRecords(
      this.#doubtful.takeRemoved(ids, this.#options.clock.getMonotonicMs()),
    );
  }

  /** An attempt that was lost with this host's links says nothing about its endpoint. */
  #addRecords(attempts: readonly DoubtfulAttempt[]): void {
    attempts.filter(({ endpoint, lostAtMs }) =>
      !this.#options.reach.isLinkLoss(endpoint.service, lostAtMs)
    ).forEach((attempt) => this.#addRecord(attempt));
  }

  async #probeEndpoint(
    { request, endpoint, isTrial }: GuardedAttempt,
    fault: string,
  ): Promise<void> {
    const { clock, logger, metrics, reach } = this.#options;
    const lostAtMs = clock.getMonotonicMs();
    const listener = await this.#probe.probeListener(endpoint.address);
    const hasLinks = listener !== "none" ||
      await reach.probe.hasLinks(endpoint);
    const digest = this.#getDigest(request);
    metrics.addLostAttempt(listener);
    logger.warn("attempt-lost", {
      request: request.attemptId,
      digest,
      endpoint: endpoint.id,
      fault,
      listener,
      hasLinks,
      isTrial,
    });
    const attempt = { digest, endpoint, isTrial, lostAtMs };
    listener === "none" && hasLinks
      ? this.#addRecord(attempt)
      : this.#doubtful.addAttempt(attempt);
  }

  #addRecord({ digest, endpoint, isTrial }: DoubtfulAttempt): void {
    const { clock, logger, onFound } = this.#options;
    const record: CrashRecord = {
      digest,
      endpoint: endpoint.id,
      startedAtMs: endpoint.startedAtMs,
      service: endpoint.service,
      softwareVersion: endpoint.softwareVersion,
      isTrial,
      foundAtMs: clock.getWallMs(),
    };
    logger.warn("endpoint-ended", {
      digest,
      endpoint: endpoint.id,
      service: endpoint.service,
      isTrial,
    });
    this.history.addRecord(record);
    onFound(record);
  }

  #clearRequest({ request, endpoint }: GuardedAttempt): void {
    const digest = this.#getDigest(request);
    this.#options.logger.info("request-cleared", {
      request: request.attemptId,
      digest,
      endpoint: endpoint.id,
    });
    this.#options.onCleared(this.history.listRecords(digest));
  }

  #logDecision(request: GuardedRequest, decision: CrashDecision): void {
    const { logger, metrics, clock } = this.#options;
    const digest = this.#getDigest(request);
    metrics.addCrashDecision(decision.kind);
    logger.info("request-restricted", {
      request: request.attemptId,
      digest,
      decision: decision.kind,
      standing: this.history.getStanding(digest, clock.getWallMs()),
      endpoint: decision.kind === "trial" ? decision.endpoint.id : "",
      ended: this.history.listRecords(digest).length,
    });
  }

  #getDigest(request: GuardedRequest): string {
    const digest = this.#digests.get(request) ?? hashRequest(request);
    this.#digests.set(request, digest);
    return digest;
  }
}
