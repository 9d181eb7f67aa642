/**
 * Decides which requests of all hosts may be sent to the endpoints of one
 * service that have limits. No endpoint may get more permits than its rate
 * allows, whatever the number of hosts.
 *
 * Under overload, requests of higher priority go first, flows of equal priority and
 * workspaces within a flow take turns, and every flow gets a minimum share. A request that would wait for
 * longer than it can is rejected on arrival, with a retry delay of its own, so
 * that rejected callers return one after the other.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import { FlowUsage } from "./flow_usage.ts";
import type {
  PermitDecision,
  PermitRequest,
  WaitingRequest,
} from "./permit.ts";
import { computeReadyAtMs } from "./permit_wait.ts";
import { TokenBucket } from "./token_bucket.ts";

/** The maximum retry delay, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;
/** Absorbs rounding errors of token counts, in milliseconds. */
const ROUNDING_TOLERANCE_MS = 0.001;
const MS_PER_S = 1_000;

/** The permits of all limited endpoints of one service, and the requests that wait for them. */
export class PermitQueue {
  readonly #buckets = new Map<EndpointId, TokenBucket>();
  readonly #usage = new FlowUsage();
  /** The time of the last return that was assigned to a rejected request, by flow and workspace. */
  readonly #returnsAtMs = new Map<string, number>();
  #waiting: readonly WaitingRequest[] = [];

  /** The number of waiting requests. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /**
   * Sets the rate of an endpoint.
   *
   * @param endpoint - The endpoint.
   * @param ratePerS - Requests per second from all hosts together.
   * @param nowMs - The current time.
   */
  setRate(endpoint: EndpointId, ratePerS: number, nowMs: number): void {
    const bucket = this.#buckets.get(endpoint);
    bucket === undefined
      ? this.#buckets.set(endpoint, new TokenBucket(ratePerS, nowMs))
      : bucket.setRate(ratePerS, nowMs);
  }

  /**
   * Removes an endpoint whose limit has ended.
   *
   * @param endpoint - The endpoint.
   */
  removeEndpoint(endpoint: EndpointId): void {
    this.#buckets.delete(endpoint);
  }

  /**
   * Adds a request and returns the decisions that follow. A request that gets no
   * decision waits.
   *
   * @param request - The request.
   * @param nowMs - The current time.
   */
  addRequest(
    request: PermitRequest,
    nowMs: number,
  ): readonly PermitDecision[] {
    const granted = this.advance(nowMs);
    const readyAtMs = this.#computeReadyAtMs(request, nowMs);
    const expiresAtMs = nowMs + request.maxWaitMs;
    if (readyAtMs > expiresAtMs + ROUNDING_TOLERANCE_MS) {
      return [...granted, this.#refuse(request, readyAtMs, nowMs)];
    }
    this.#waiting = [...this.#waiting, { ...request, expiresAtMs }];
    return [...granted, ...this.advance(nowMs)];
  }

  /**
   * Removes a request whose sender no longer waits for the decision.
   *
   * @param id - The ID of the request.
   */
  removeRequest(id: string): void {
    this.#waiting = this.#waiting.filter((request) => request.id !== id);
  }

  /**
   * Grants the permits that are available and rejects the requests that can't wait any longer.
   *
   * @param nowMs - The current time.
   */
  advance(nowMs: number): readonly PermitDecision[] {
    const decisions: PermitDecision[] = [];
    for (
      let next = this.#pickNext(nowMs);
      next !== undefined;
      next = this.#pickNext(nowMs)
    ) {
      decisions.push(this.#grant(next.request, next.endpoint, nowMs));
    }
    for (const request of this.#waiting) {
      if (nowMs >= request.expiresAtMs) {
        this.removeRequest(request.id);
        const readyAtMs = this.#computeReadyAtMs(request, nowMs);
        decisions.push(this.#refuse(request, readyAtMs, nowMs));
      }
    }
    return decisions;
  }

  /**
   * Returns the time at which `advance` may decide next, or undefined if no request waits.
   *
   * @param nowMs - The current time.
   */
  getNextAtMs(nowMs: number): number | undefined {
    const times = this.#waiting.flatMap(({ expiresAtMs, endpoints }) => [
      expiresAtMs,
      ...this.#listBuckets(endpoints).map((bucket) =>
        bucket.getReadyAtMs(1, nowMs)
      ),
    ]);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  #grant(
    request: WaitingRequest,
    endpoint: EndpointId,
    nowMs: number,
  ): PermitDecision {
    this.#buckets.get(endpoint)?.takeToken(nowMs);
    this.#usage.addGrant(request, nowMs);
    this.removeRequest(request.id);
    return { kind: "granted", id: request.id, endpoint };
  }

  /** Returns the request that is served next and its endpoint, or undefined if no endpoint of a waiting request has a token. */
  #pickNext(
    nowMs: number,
  ):
    | { readonly request: WaitingRequest; readonly endpoint: EndpointId }
    | undefined {
    let best: WaitingRequest | undefined;
    let bestEndpoint: EndpointId | undefined;
    for (const request of this.#waiting) {
      const endpoint = this.#findReadyEndpoint(request, nowMs);
      const isBetter = endpoint !== undefined &&
        (best === undefined ||
          this.#usage.isServedBefore(request, best, nowMs));
      if (isBetter) {
        best = request;
        bestEndpoint = endpoint;
      }
    }
    return best === undefined || bestEndpoint === undefined
      ? undefined
      : { request: best, endpoint: bestEndpoint };
  }

  /** Returns the endpoint with the most tokens among those that have one. */
  #findReadyEndpoint(
    { endpoints }: PermitRequest,
    nowMs: number,
  ): EndpointId | undefined {
    let best: EndpointId | undefined;
    let bestTokens = 1;
    for (const endpoint of endpoints) {
      const tokens = this.#buckets.get(endpoint)?.getTokens(nowMs) ?? 0;
      if (tokens >= bestTokens && (best === undefined || tokens > bestTokens)) {
        best = endpoint;
        bestTokens = tokens;
      }
    }
    return best;
  }

  #listBuckets(endpoints: readonly EndpointId[]): readonly TokenBucket[] {
    return endpoints.flatMap((id) => this.#buckets.get(id) ?? []);
  }

  #computeReadyAtMs(request: PermitRequest, nowMs: number): number {
    return computeReadyAtMs(request, {
      waiting: this.#waiting,
      buckets: this.#listBuckets(request.endpoints),
      usage: this.#usage,
      nowMs,
    });
  }

  #refuse(
    request: PermitRequest,
    readyAtMs: number,
    nowMs: number,
  ): PermitDecision {
    const { id, maxWaitMs } = request;
    const atMs = maxWaitMs > 0
      ? this.#assignReturn(request, readyAtMs, nowMs)
      : readyAtMs;
    if (maxWaitMs > 0) {
      this.#returnsAtMs.set(formatReturnKey(request), atMs);
    }
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(1, atMs - nowMs),
    );
    return { kind: "rejected", id, retryAfterMs };
  }

  /** Returns the next free return time of a flow or workspace, one permit apart; starts over where it would be too late. */
  #assignReturn(
    request: PermitRequest,
    readyAtMs: number,
    nowMs: number,
  ): number {
    const ratePerS = this.#listBuckets(request.endpoints).reduce(
      (sum, bucket) => sum + bucket.ratePerS,
      0,
    );
    const lastMs = this.#returnsAtMs.get(formatReturnKey(request)) ?? -Infinity;
    const nextMs = Math.max(readyAtMs, lastMs + MS_PER_S / ratePerS);
    return nextMs - nowMs > MAX_RETRY_AFTER_MS
      ? Math.min(readyAtMs, nowMs + MAX_RETRY_AFTER_MS)
      : nextMs;
  }
}

/** Returns the key of the requests that return one after the other: those of a workspace, or of a flow without workspaces. */
function formatReturnKey({ flow, workspace = "" }: PermitRequest): string {
  return `${flow} ${workspace}`;
}
