/**
 * Holds the limits that this host knows, and logs and counts how they are used.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  type EndpointIncarnation,
  EndpointLimits,
  type LimitChange,
} from "@briarhill/routing/limits/endpoint_limits";
import type {
  EndpointLimit,
  StatedLimit,
} from "@briarhill/routing/limits/request_limit";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { LimitReport } from "./permit_message.ts";
import type { HostMetrics } from "../observe/host_metrics.ts";

/** The minimum interval between two log lines about the use of one limit, in milliseconds. */
const USE_LOG_INTERVAL_MS = 1_000;

/** The age below which a response of this host goes before the end of a limit in the shared log, in milliseconds: the usual delay of a record. */
const RECENT_RESPONSE_MS = 200;

/** What a request to an endpoint is for. */
export type RequestPurpose =
  | "call"
  | "stream"
  | "scoring"
  | "sample"
  | "control";

/** Options of {@link ObservedLimits}. */
export interface ObservedLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: HostMetrics;
  /** Called when a response has set, changed or ended a limit. */
  readonly onChange: (endpoint: EndpointStructure, limit: LimitReport) => void;
}

interface LimitUse {
  readonly sinceMs: number;
  readonly sent: Record<string, number>;
}

/** The limits that this host knows and its use of them. */
export class ObservedLimits {
  readonly #options: ObservedLimitsOptions;
  readonly #limits = new EndpointLimits();
  readonly #uses = new Map<EndpointId, LimitUse>();
  /** The last value of each endpoint that is not a rate. */
  readonly #invalidValues = new Map<EndpointId, string>();

  constructor(options: ObservedLimitsOptions) {
    this.#options = options;
  }

  /**
   * Returns the limit of an endpoint, or undefined if it has none.
   *
   * @param endpoint - The endpoint.
   */
  getLimit(endpoint: EndpointIncarnation): EndpointLimit | undefined {
    return this.#limits.getLimit(endpoint);
  }

  /**
   * Applies the limit that a response states and returns whether it is new or
   * differs from the known one.
   *
   * @param endpoint - The endpoint that sent the response.
   * @param stated - The limit that the response states.
   * @param request - When the request was sent, on the monotonic clock, and what it was for.
   */
  applyResponse(
    endpoint: EndpointStructure,
    stated: StatedLimit,
    { sentAtMs, purpose }: {
      readonly sentAtMs: number;
      readonly purpose: RequestPurpose;
    },
  ): LimitChange {
    if (stated.kind === "invalid") {
      this.#logInvalid(endpoint.id, stated.text, purpose);
    }
    const nowMs = this.#options.clock.getMonotonicMs();
    const ageMs = this.#limits.getAgeMs(endpoint.id, nowMs);
    const change = this.#limits.applyResponse(endpoint, stated, {
      sentAtMs,
      nowMs,
    });
    if (change === "set" && stated.kind === "rate") {
      this.#logSet(endpoint.id, stated.ratePerS, purpose);
    }
    if (change === "set" || change === "ended") {
      this.#options.onChange(endpoint, this.#createReport(endpoint, nowMs));
    }
    if (change === "ended") {
      this.#logEnded(endpoint.id, ageMs, purpose);
    }
    return change;
  }

  /**
   * Counts a request that is about to be sent.
   *
   * @param endpoint - The endpoint that receives the request.
   * @param purpose - What the request is for.
   */
  addRequest(endpoint: EndpointStructure, purpose: RequestPurpose): void {
    const limit = this.#limits.getLimit(endpoint);
    if (limit === undefined) {
      return;
    }
    const { clock, metrics } = this.#options;
    metrics.addLimitedRequest(purpose);
    const nowMs = clock.getMonotonicMs();
    const use = this.#uses.get(endpoint.id) ?? { sinceMs: nowMs, sent: {} };
    this.#uses.set(endpoint.id, use);
    use.sent[purpose] = (use.sent[purpose] ?? 0) + 1;
    if (nowMs - use.sinceMs >= USE_LOG_INTERVAL_MS) {
      this.#logUse(limit, use, nowMs);
    }
  }

  /**
   * Removes the limits of endpoints that no longer exist.
   *
   * @param ids - The endpoints' IDs.
   */
  removeLimits(ids: readonly EndpointId[]): void {
    this.#limits.removeLimits(ids);
    ids.forEach((id) => {
      this.#uses.delete(id);
      this.#invalidValues.delete(id);
    });
  }

  /**
   * Returns what this host knows of an endpoint's limit; empty if it knows of none.
   *
   * @param endpoint - The endpoint.
   */
  createReport(endpoint: EndpointIncarnation): readonly LimitReport[] {
    return this.#limits.getLimit(endpoint) === undefined
      ? []
      : [this.#createReport(endpoint, this.#options.clock.getMonotonicMs())];
  }

  /**
   * Applies a limit that another host has written to the shared log.
   *
   * @param endpoint - The endpoint.
   * @param ratePerS - Requests per second from all hosts together.
   */
  addSharedLimit(endpoint: EndpointIncarnation, ratePerS: number): void {
    const change = this.#limits.addLimit({
      endpoint: endpoint.id,
      startedAtMs: endpoint.startedAtMs,
      ratePerS,
      confirmedAtMs: this.#options.clock.getMonotonicMs(),
    });
    if (change === "set") {
      this.#logSet(endpoint.id, ratePerS, "shared-log");
    }
  }

  /**
   * Removes a limit that another host reported as ended, unless a recent response to this host stated it.
   *
   * @param id - The endpoint's ID.
   */
  removeSharedLimit(id: EndpointId): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const ageMs = this.#limits.getAgeMs(id, nowMs);
    if (this.#limits.removeUnconfirmed(id, nowMs - RECENT_RESPONSE_MS)) {
      this.#logEnded(id, ageMs, "shared-log");
    }
  }

  #createReport(
    endpoint: EndpointIncarnation,
    nowMs: number,
  ): LimitReport {
    const limit = this.#limits.getLimit(endpoint);
    return {
      endpoint: endpoint.id,
      startedAtMs: endpoint.startedAtMs,
      ratePerS: limit?.ratePerS,
      ageMs: nowMs - (limit?.confirmedAtMs ?? nowMs),
    };
  }

  #logEnded(endpoint: EndpointId, ageMs: number, source: string): void {
    const { logger, metrics } = this.#options;
    this.#uses.delete(endpoint);
    metrics.addLimitChange("ended");
    logger.info("endpoint-limit-ended", {
      endpoint,
      ageMs: Math.round(ageMs),
      source,
    });
  }

  /** Logs a value once for each endpoint, however many responses state it. */
  #logInvalid(endpoint: EndpointId, value: string, source: string): void {
    if (this.#invalidValues.get(endpoint) !== value) {
      this.#invalidValues.set(endpoint, value);
      this.#options.logger.warn("endpoint-limit-invalid", {
        endpoint,
        value,
        source,
      });
    }
  }

  #logSet(endpoint: EndpointId, ratePerS: number, source: string): void {
    const { logger, metrics } = this.#options;
    metrics.addLimitChange("set");
    logger.info("endpoint-limit-set", { endpoint, ratePerS, source });
  }

  #logUse(limit: EndpointLimit, use: LimitUse, nowMs: number): void {
    const { endpoint, ratePerS, confirmedAtMs } = limit;
    this.#options.logger.info("endpoint-limit-use", {
      endpoint,
      ratePerS,
      ageMs: Math.round(this.#limits.getAgeMs(endpoint, nowMs)),
      confirmedMs: Math.round(nowMs - confirmedAtMs),
      periodMs: Math.round(nowMs - use.sinceMs),
      ...use.sent,
    });
    this.#uses.set(endpoint, { sinceMs: nowMs, sent: {} });
  }
}
