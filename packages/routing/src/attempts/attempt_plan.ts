/**
 * Decides which attempts a request makes at endpoints and when its outcome is
 * final. A request that is not repeatable must not be attempted again once an
 * endpoint may have run it.
 *
 * Under load, a single endpoint that is unreachable, slow or returns corrupt
 * responses delays the requests sent to it. A repeatable request is therefore
 * sent to another endpoint after a multiple of the usual latency, and the first
 * complete response is used. While all endpoints are full, a request is retried
 * for half of its time to the deadline.
 * @module
 */
import type { Outcome } from "@briarhill/common/ids/ids";

/** Interval between retries while all endpoints are full, in milliseconds; a service call takes about 25 ms. */
const FULL_RETRY_INTERVAL_MS = 25;
/** Share of the time from start to deadline during which full endpoints are retried. */
const FULL_RETRY_TIME_SHARE = 0.5;
/** Delay between two attempts, in milliseconds; it lets other tasks of the event loop run. */
const NEXT_ATTEMPT_DELAY_MS = 1;

/** The reason if there is no endpoint to send an attempt to. */
export const NO_ENDPOINT_REASON = "no-endpoint";

/** Options of an attempt plan. */
export interface AttemptPlanOptions {
  readonly startedAtMs: number;
  /** Deadline for the final outcome. */
  readonly deadlineMs: number;
  /** Maximum number of endpoints that may run the request. */
  readonly maxAttempts: number;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Time without a response after which another endpoint is tried, in milliseconds. */
  readonly hedgeAfterMs: number;
}

/** Result of one attempt and, if it failed, the reason. */
export type AttemptResult =
  /** The endpoint did not run the request. */
  | { readonly kind: "not-run"; readonly reason: string }
  /** The endpoint may have run the request, but the response was lost. */
  | { readonly kind: "lost"; readonly reason: string }
  /** The endpoint responded; `isFailure` is set if the response reports a failure of the endpoint. */
  | { readonly kind: "answered"; readonly isFailure: boolean };

/** Time until which to wait for running attempts. */
export interface AttemptWait {
  readonly untilMs: number;
  /** Whether the time is the request's deadline, after which no attempt is made. */
  readonly isDeadline: boolean;
}

/** The attempts of one request. All times are read from one monotonic clock. */
export class AttemptPlan {
  readonly #options: AttemptPlanOptions;
  #attempts = 0;
  #running = 0;
  /** Attempts that are running or may have run. */
  #executions = 0;
  #failures = 0;
  /** Attempts that another host makes, including the one that was started here. */
  #assigned = 0;
  #mayHaveRun = false;
  #isRejected = false;
  #reason = NO_ENDPOINT_REASON;

  constructor(options: AttemptPlanOptions) {
    this.#options = options;
  }

  /** Number of attempts made. */
  get attempts(): number {
    return this.#attempts;
  }

  /** Number of attempts in flight. */
  get running(): number {
    return this.#running;
  }

  /** Number of responses that report a failure of the endpoint. */
  get failures(): number {
    return this.#failures;
  }

  /** Reason why the last attempt failed or why none was made. */
  get reason(): string {
    return this.#reason;
  }

  /** Outcome of the request if it ends now; "not-run" only while no endpoint can have run it. */
  get outcome(): Outcome {
    return this.#mayHaveRun || this.#running > 0 ? "unknown" : "not-run";
  }

  /** Records the start of an attempt. */
  startAttempt(): void {
    this.#attempts++;
    this.#running++;
    this.#executions++;
  }

  /**
   * Hands attempts over to another host and returns their number, including the
   * attempt that was started. One is kept for the loss of that host.
   */
  assignAttempts(): number {
    const left = this.#options.maxAttempts - this.#executions;
    this.#assigned = 1 + Math.max(0, left - 1);
    this.#executions += this.#assigned - 1;
    return this.#assigned;
  }

  /**
   * Records the end of the attempts that another host has made.
   *
   * @param result - How they ended; their answer is final.
   */
  settleAssigned(result: AttemptResult): void {
    const assigned = this.#assigned;
    this.#assigned = 0;
    if (result.kind === "not-run") {
      this.#executions -= assigned - 1;
    }
    this.settleAttempt(result);
  }

  /**
   * Records that a started attempt was not sent to any endpoint.
   *
   * @param reason - Why it was not sent; undefined for a hedged attempt, which leaves the reason unchanged.
   */
  cancelAttempt(reason?: string): void {
    this.#attempts--;
    this.#running--;
    this.#executions--;
    this.#reason = reason ?? this.#reason;
  }

  /**
   * Records that a started attempt was rejected before it was sent, which is
   * final: the decision has allowed for the time to the deadline.
   *
   * @param reason - Why it was rejected.
   */
  closeAttempts(reason: string): void {
    this.cancelAttempt(reason);
    this.closeRetries();
  }

  /** Allows no further attempts. */
  closeRetries(): void {
    this.#isRejected = true;
  }

  /**
   * Records the result of an attempt and returns whether its response is final.
   *
   * @param result - The result of the attempt.
   */
  settleAttempt(result: AttemptResult): boolean {
    this.#running--;
    if (result.kind === "not-run") {
      this.#executions--;
      this.#reason = result.reason;
      return false;
    }
    if (result.kind === "lost") {
      this.#mayHaveRun = true;
      this.#reason = result.reason;
      return false;
    }
    if (!result.isFailure || !this.#options.isRepeatable) {
      return true;
    }
    this.#mayHaveRun = true;
    this.#failures++;
    return false;
  }

  /**
   * Returns whether another attempt may be made.
   *
   * @param nowMs - The current time.
   */
  canRetry(nowMs: number): boolean {
    const { isRepeatable, maxAttempts, startedAtMs, deadlineMs } =
      this.#options;
    if (this.#executions >= maxAttempts || this.#isRejected) {
      return false;
    }
    if (this.#mayHaveRun && !isRepeatable) {
      return false;
    }
    const fullUntilMs = startedAtMs +
      FULL_RETRY_TIME_SHARE * (deadlineMs - startedAtMs);
    return !this.#isWaitingForCapacity() || nowMs < fullUntilMs;
  }

  /**
   * Returns the time until which to wait for running attempts before the next one starts.
   *
   * @param nowMs - The current time.
   */
  getWait(nowMs: number): AttemptWait {
    const { deadlineMs } = this.#options;
    const untilMs = nowMs + this.#getDelayMs(nowMs);
    return untilMs < deadlineMs
      ? { untilMs, isDeadline: false }
      : { untilMs: deadlineMs, isDeadline: true };
  }

  #getDelayMs(nowMs: number): number {
    const { isRepeatable, maxAttempts, hedgeAfterMs } = this.#options;
    if (this.#running === 0) {
      return this.#isWaitingForCapacity()
        ? FULL_RETRY_INTERVAL_MS
        : NEXT_ATTEMPT_DELAY_MS;
    }
    const canHedge = isRepeatable && this.canRetry(nowMs) &&
      this.#assigned === 0 && this.#attempts < maxAttempts;
    return canHedge ? hedgeAfterMs : Infinity;
  }

  #isWaitingForCapacity(): boolean {
    return this.#reason === "full" || this.#reason === NO_ENDPOINT_REASON;
  }
}
