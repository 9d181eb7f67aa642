/**
 * Answers the hosts' requests for permits of one service: passes requests to the
 * service's `PermitQueue` and its decisions back, and advances the queue in time.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { Clock, Timer } from "@briarhill/common/time/clock";
import type {
  PermitDecision,
  PermitRequest,
} from "@briarhill/routing/limits/permit";
import { PermitQueue } from "@briarhill/routing/limits/permit_queue";
import type { LimitReport, PermitReply } from "./permit_message.ts";

/** Added to the time at which the queue is advanced, as timers may fire early by a fraction of a millisecond, in milliseconds. */
const TIMER_MARGIN_MS = 1;

/** What is known of the limit of one incarnation of an endpoint. */
export interface KnownLimit {
  readonly startedAtMs: number;
  /** Undefined if the limit has ended. */
  readonly ratePerS: number | undefined;
  /** The time at which it was stated, on the monotonic clock of this host. */
  readonly statedAtMs: number;
}

/** The permits of one service at the host that owns them. */
export class ServicePermits {
  readonly #clock: Clock;
  readonly #queue = new PermitQueue();
  readonly #limits = new Map<EndpointId, KnownLimit>();
  readonly #waiting = new Map<
    string,
    (reply: PermitReply | undefined) => void
  >();
  #rateShare = 1;
  #timer: Timer | undefined;
  #nextId = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The number of requests that wait for a permit. */
  get waiting(): number {
    return this.#queue.waiting;
  }

  /** The limits that were reported, by endpoint. */
  get limits(): ReadonlyMap<EndpointId, KnownLimit> {
    return this.#limits;
  }

  /**
   * Sets the share of each rate that is granted.
   *
   * @param rateShare - 1 for the whole rate.
   */
  setRateShare(rateShare: number): void {
    if (rateShare === this.#rateShare) {
      return;
    }
    this.#rateShare = rateShare;
    for (const [endpoint, limit] of this.#limits) {
      this.#setRate(endpoint, limit);
    }
  }

  /**
   * Applies what a host knows of a limit and returns whether it changed what is
   * known here. The most recent response decides.
   *
   * @param report - The report.
   */
  applyReport(report: LimitReport): boolean {
    const { endpoint, startedAtMs, ratePerS, ageMs } = report;
    const known = this.#limits.get(endpoint);
    const statedAtMs = this.#clock.getMonotonicMs() - ageMs;
    const isOutdated = known !== undefined &&
      (startedAtMs < known.startedAtMs ||
        (startedAtMs === known.startedAtMs && statedAtMs < known.statedAtMs));
    if (isOutdated) {
      return false;
    }
    const limit = { startedAtMs, ratePerS, statedAtMs };
    this.#limits.set(endpoint, limit);
    if (
      known?.startedAtMs === startedAtMs && known.ratePerS === ratePerS
    ) {
      return false;
    }
    if (known !== undefined && known.startedAtMs < startedAtMs) {
      this.#queue.removeEndpoint(endpoint);
    }
    this.#setRate(endpoint, limit);
    return true;
  }

  /**
   * Resolves with the decision on a request, or undefined if these permits are closed first.
   *
   * @param request - The request.
   * @param signal - Aborts when the host no longer waits for the decision.
   */
  decideRequest(
    request: Omit<PermitRequest, "id">,
    signal: AbortSignal,
  ): Promise<PermitReply | undefined> {
    const free = request.endpoints.find((endpoint) =>
      this.#limits.get(endpoint)?.ratePerS === undefined
    );
    if (free !== undefined) {
      // The limit has ended; the endpoint's response will tell the host.
      return Promise.resolve({ kind: "granted", endpoint: free });
    }
    const id = String(this.#nextId++);
    const decided = new AbortController();
    signal.addEventListener("abort", () => this.#removeRequest(id), {
      once: true,
      signal: decided.signal,
    });
    return new Promise<PermitReply | undefined>((resolve) => {
      this.#waiting.set(id, resolve);
      const nowMs = this.#clock.getMonotonicMs();
      this.#deliver(this.#queue.addRequest({ ...request, id }, nowMs));
    }).finally(() => decided.abort());
  }

  /**
   * Removes an endpoint that no longer exists, and returns whether it had a limit.
   *
   * @param endpoint - The endpoint.
   */
  removeEndpoint(endpoint: EndpointId): boolean {
    this.#queue.removeEndpoint(endpoint);
    return this.#limits.delete(endpoint);
  }

  /** Ends all waiting requests without a decision, because another host owns the permits now. */
  close(): void {
    this.#timer?.cancel();
    for (const [id, resolve] of this.#waiting) {
      this.#queue.removeRequest(id);
      resolve(undefined);
    }
    this.#waiting.clear();
  }

  #setRate(endpoint: EndpointId, { ratePerS }: KnownLimit): void {
    ratePerS === undefined
      ? this.#queue.removeEndpoint(endpoint)
      : this.#queue.setRate(
        endpoint,
        ratePerS * this.#rateShare,
        this.#clock.getMonotonicMs(),
      );
    this.#advance();
  }

  #removeRequest(id: string): void {
    this.#queue.removeRequest(id);
    this.#waiting.delete(id);
  }

  #deliver(decisions: readonly PermitDecision[]): void {
    for (const { id, ...reply } of decisions) {
      this.#waiting.get(id)?.(reply);
      this.#waiting.delete(id);
    }
    this.#scheduleAdvance();
  }

  #advance(): void {
    this.#deliver(this.#queue.advance(this.#clock.getMonotonicMs()));
  }

  #scheduleAdvance(): void {
    this.#timer?.cancel();
    const nowMs = this.#clock.getMonotonicMs();
    const nextAtMs = this.#queue.getNextAtMs(nowMs);
    this.#timer = nextAtMs === undefined ? undefined : this.#clock.setTimer(
      Math.max(0, nextAtMs - nowMs) + TIMER_MARGIN_MS,
      () => this.#advance(),
    );
  }
}
