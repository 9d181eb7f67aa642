/**
 * Tracks the load, latency and failures of one endpoint as this host observes
 * them.
 * @module
 */
import { EndpointEstimate } from "./endpoint_estimate.ts";
import type { StatedLoad } from "./stated_load.ts";

/** Weight of the newest measurement in the moving average. */
const MEASUREMENT_WEIGHT = 0.25;
/** Time for which a load report is used, in milliseconds; engines report with a lag of about 200 ms. */
const REPORT_LIFETIME_MS = 600;
/** Time for which both peers likely keep an idle connection open, in milliseconds. */
const CONNECTION_LIFETIME_MS = 8_000;
/** First pause after a rejection, in milliseconds; it doubles up to the maximum, which is shorter than a load of weights. */
const FIRST_REJECTION_PAUSE_MS = 40;
const MAX_REJECTION_PAUSE_MS = 160;
/** First pause after a failure, in milliseconds; it doubles up to the maximum. */
const FIRST_FAILURE_PAUSE_MS = 400;
const MAX_FAILURE_PAUSE_MS = 4_000;
/** Minimum time between two connection attempts to an endpoint that accepts none, in milliseconds; an endpoint takes some seconds to restart. */
const RECONNECT_INTERVAL_MS = 250;

/** Result of a request as far as it concerns the health of the endpoint. */
export type EndpointOutcome =
  | "served"
  | "refused"
  | "broken"
  | "unreachable"
  /** It accepted no connection, so that no byte of the request was sent. */
  | "closed";

/** Load, latency and failures of one endpoint, as observed by this host. */
export class EndpointLoad {
  /** Pace and load as estimated if the endpoint states how long work takes there. */
  readonly estimate: EndpointEstimate = new EndpointEstimate();
  #inFlight = 0;
  #unanswered = 0;
  #latencyRatio = 1;
  #failures = 0;
  #rejections = 0;
  #lastServedAtMs = -Infinity;
  #pausedUntilMs = 0;
  #closedUntilMs = 0;
  #reportedAtMs = -Infinity;
  #reportedRequests = 0;
  #inFlightAtReport = 0;

  /** Number of requests that this host has in flight on the endpoint. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Ratio of its latency to that of its peers; 1 is usual. */
  get latencyRatio(): number {
    return this.#latencyRatio;
  }

  /** Number of requests in flight whose response has not started. */
  get unanswered(): number {
    return this.#unanswered;
  }

  /** Records that a request is sent. */
  addRequest(): void {
    this.#inFlight++;
    this.#unanswered++;
  }

  /** Records that the response to a request has started, or that there will be none. */
  removeUnanswered(): void {
    this.#unanswered = Math.max(0, this.#unanswered - 1);
  }

  /**
   * Returns whether a connection of an earlier request is likely still open.
   *
   * @param nowMs - The current time.
   */
  hasConnection(nowMs: number): boolean {
    return nowMs - this.#lastServedAtMs < CONNECTION_LIFETIME_MS;
  }

  /**
   * Records the end of a request.
   *
   * @param outcome - The result of the request.
   * @param nowMs - The current time.
   */
  removeRequest(outcome: EndpointOutcome | "cancelled", nowMs: number): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
    if (outcome === "served") {
      this.#failures = 0;
      this.#rejections = 0;
      this.#lastServedAtMs = nowMs;
      this.#pausedUntilMs = 0;
      this.#closedUntilMs = 0;
    } else if (outcome === "refused") {
      const pauseMs = FIRST_REJECTION_PAUSE_MS * 2 ** this.#rejections;
      this.#rejections++;
      this.#pausedUntilMs = nowMs + Math.min(pauseMs, MAX_REJECTION_PAUSE_MS);
    } else if (outcome !== "cancelled") {
      this.addFailure(outcome, nowMs);
    }
  }

  /**
   * Records a failed call.
   *
   * @param outcome - How it failed.
   * @param nowMs - The current time.
   */
  addFailure(
    outcome: Exclude<EndpointOutcome, "served" | "refused">,
    nowMs: number,
  ): void {
    this.#failures++;
    const pauseMs = FIRST_FAILURE_PAUSE_MS * 2 ** (this.#failures - 1);
    // A single corrupt response doesn't indicate a faulty endpoint.
    if (outcome !== "broken" || this.#failures > 1) {
      this.#pausedUntilMs = nowMs + Math.min(pauseMs, MAX_FAILURE_PAUSE_MS);
    }
    if (outcome === "closed") {
      this.#closedUntilMs = nowMs + RECONNECT_INTERVAL_MS;
    }
  }

  /** Forgets failures and pauses. */
  clearFailures(): void {
    this.#failures = 0;
    this.#rejections = 0;
    this.#pausedUntilMs = 0;
    this.#closedUntilMs = 0;
  }

  /**
   * Adds a measured ratio of latency to the usual latency to the moving average.
   *
   * @param ratio - 1 is usual, 2 is twice as long.
   */
  addLatencyRatio(ratio: number): void {
    this.estimate.addDuration(ratio);
    this.#latencyRatio += MEASUREMENT_WEIGHT * (ratio - this.#latencyRatio);
  }

  /**
   * Sets the ratio of latency to the usual latency if it is measured elsewhere.
   *
   * @param ratio - 1 is usual, 2 is twice as long.
   */
  setLatencyRatio(ratio: number): void {
    this.estimate.setUsualPace(ratio);
    this.#latencyRatio = ratio;
  }

  /**
   * Records the load that the endpoint has stated in a response.
   *
   * @param stated - The load; undefined if the endpoint states none.
   * @param nowMs - The current time.
   */
  setStatedLoad(stated: StatedLoad | undefined, nowMs: number): void {
    if (stated === undefined) {
      return;
    }
    this.estimate.setStatedLoad(stated, { inFlight: this.#inFlight, nowMs });
    this.#reportedRequests = stated.running + stated.waiting;
    this.#inFlightAtReport = this.#inFlight;
    this.#reportedAtMs = nowMs;
  }

  /**
   * Returns the estimated number of running and queued requests: the last
   * report unless it is stale, corrected by the requests that this host started
   * and finished since.
   *
   * @param nowMs - The current time.
   */
  getRequests(nowMs: number): number {
    if (nowMs - this.#reportedAtMs > REPORT_LIFETIME_MS) {
      return this.#inFlight;
    }
    const sinceReport = this.#inFlight - this.#inFlightAtReport;
    return Math.max(this.#inFlight, this.#reportedRequests + sinceReport);
  }

  /** Number of requests that have failed without a response since one was served. */
  get failures(): number {
    return this.#failures;
  }

  /** Whether the last request failed without a response, so that the endpoint may have restarted. */
  get hasFailed(): boolean {
    return this.#failures > 0;
  }

  /**
   * Returns how long no connection is to be tried because the endpoint has just
   * accepted none, in milliseconds; 0 if one may be tried.
   *
   * @param nowMs - The current time.
   */
  getClosedMs(nowMs: number): number {
    return Math.max(0, this.#closedUntilMs - nowMs);
  }

  /**
   * Returns whether the endpoint is paused after failures or rejections.
   *
   * @param nowMs - The current time.
   */
  isPaused(nowMs: number): boolean {
    return nowMs < this.#pausedUntilMs;
  }
}
