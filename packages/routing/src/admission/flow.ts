/**
 * Queue and running set of one customer and request class, with the state of
 * start-time fair queueing. An idle flow must not accumulate credit.
 * @module
 */
import type { RequestId } from "@briarhill/common/ids/ids";
import type { AdmissionRequest } from "./admission_structure.ts";

const INITIAL_START_INTERVAL_MS = 200;
const INTERVAL_SMOOTHING = 0.1;

/** A queued request. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly queuedAtMs: number;
}

/** Queued and running requests of one customer and class, each in order of arrival or start. */
export class Flow {
  #queue: QueuedRequest[] = [];
  readonly #running = new Map<RequestId, number>();
  #startIntervalMs = INITIAL_START_INTERVAL_MS;
  #lastStartMs = -Infinity;
  #startTag = 0;
  #blockedSinceMs: number | undefined;

  /** Returns the number of running requests. */
  get running(): number {
    return this.#running.size;
  }

  /** Returns the number of queued requests. */
  get queued(): number {
    return this.#queue.length;
  }

  /**
   * Returns whether a request is queued.
   *
   * @param id - The request.
   */
  hasQueued(id: RequestId): boolean {
    return this.#queue.some(({ request }) => request.id === id);
  }

  /** Returns the most recently started request; cancelling it loses the least work. */
  getNewest(): RequestId | undefined {
    let newest: RequestId | undefined;
    for (const id of this.#running.keys()) {
      newest = id;
    }
    return newest;
  }

  /** Returns the time since which the head has waited for a slot that the customer is entitled to. */
  getBlockedSinceMs(): number | undefined {
    return this.#blockedSinceMs;
  }

  /**
   * Sets the time since which the head has waited for a slot that the customer
   * is entitled to.
   *
   * @param sinceMs - The time, or undefined if the head does not wait for one.
   */
  setBlockedSinceMs(sinceMs: number | undefined): void {
    this.#blockedSinceMs = sinceMs;
  }

  /** Estimates the wait of a newly queued request from the moving average of start intervals. */
  computeWaitMs(): number {
    return (this.#queue.length + 1) * this.#startIntervalMs;
  }

  /** Returns the start tag: the flow's cost so far divided by its weight. */
  getStartTag(): number {
    return this.#startTag;
  }

  /**
   * Adds a request to the queue. An idle flow gets no credit for its idle time:
   * its start tag is raised to the virtual time.
   *
   * @param request - The request.
   * @param options - The virtual time and the current time.
   */
  addQueued(
    request: AdmissionRequest,
    options: { readonly virtualTime: number; readonly nowMs: number },
  ): void {
    if (this.#queue.length === 0 && this.#running.size === 0) {
      this.#startTag = Math.max(options.virtualTime, this.#startTag);
    }
    this.#queue.push({ request, queuedAtMs: options.nowMs });
  }

  /**
   * Starts the request at the head of the queue.
   *
   * @param options - The current time and the flow's weight.
   */
  startHead(
    options: { readonly nowMs: number; readonly weight: number },
  ): RequestId | undefined {
    const head = this.#queue.shift();
    if (head === undefined) {
      return undefined;
    }
    const { nowMs, weight } = options;
    const { id, cost } = head.request;
    this.#running.set(id, cost);
    this.#startTag += cost / weight;
    const busySinceMs = Math.max(head.queuedAtMs, this.#lastStartMs);
    this.#startIntervalMs += INTERVAL_SMOOTHING *
      (nowMs - busySinceMs - this.#startIntervalMs);
    this.#lastStartMs = nowMs;
    return id;
  }

  /**
   * Removes a running request, corrects the start tag by its actual cost and
   * returns that cost.
   *
   * @param id - The request.
   * @param settlement - The actual token-seconds, if known, and the weight.
   */
  finishRunning(
    id: RequestId,
    settlement: { readonly cost: number | undefined; readonly weight: number },
  ): number | undefined {
    const expected = this.#running.get(id);
    if (expected === undefined) {
      return undefined;
    }
    this.#running.delete(id);
    const cost = settlement.cost ?? expected;
    this.#startTag += (cost - expected) / settlement.weight;
    return cost;
  }

  /**
   * Removes the queued requests that match a predicate.
   *
   * @param isRemoved - The predicate.
   */
  removeQueued(
    isRemoved: (queued: QueuedRequest) => boolean,
  ): readonly QueuedRequest[] {
    const removed = this.#queue.filter(isRemoved);
    if (removed.length > 0) {
      this.#queue = this.#queue.filter((it) => !isRemoved(it));
    }
    return removed;
  }
}
