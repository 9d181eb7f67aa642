/**
 * Which attempts one request makes at endpoints, and when it has its outcome.
 *
 * Load pattern: an endpoint that is dark, slow or spoils answers holds single
 * requests. A repeatable one is sent once more to another endpoint after a
 * multiple of the usual time, and the first whole answer counts. Where all
 * endpoints are full, a request asks again for half of its time.
 * @module
 */
import type { Outcome } from "@briarhill/common/ids/ids";

/** The pause before an endpoint that was full is asked again, in milliseconds; a service call takes some 25. */
const FULL_RETRY_MS = 25;
/** The share of a request's time in which full endpoints are asked again. */
const FULL_RETRY_SHARE = 0.5;
/** Lets other work in between two attempts, in milliseconds. */
const NEXT_ATTEMPT_MS = 1;

/** What a plan follows from. */
export interface AttemptTerms {
  readonly startedAtMs: number;
  /** When the final outcome is due. */
  readonly deadlineMs: number;
  /** How many endpoints may run it at most. */
  readonly maxAttempts: number;
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
  /** After how long without an answer another endpoint is tried, in milliseconds. */
  readonly hedgeAfterMs: number;
}

/** How one attempt ended, and why. */
export type AttemptEnd =
  /** The endpoint has not run it. */
  | { readonly kind: "not-run"; readonly reason: string }
  /** The endpoint may have run it, and its answer is lost. */
  | { readonly kind: "lost"; readonly reason: string }
  /** The endpoint answered, with a failure of its own or not. */
  | { readonly kind: "answered"; readonly isFailure: boolean };

/** What to wait for, and until when. */
export interface AttemptWait {
  readonly untilMs: number;
  /** Whether nothing more is tried then. */
  readonly isDeadline: boolean;
}

/** The attempts of one request. The times are of one monotonic clock. */
export class AttemptPlan {
  readonly #terms: AttemptTerms;
  #attempts = 0;
  #running = 0;
  /** Attempts that run, or may have run. */
  #executions = 0;
  #failedAnswers = 0;
  #mayHaveRun = false;
  #reason = "no-endpoint";

  constructor(terms: AttemptTerms) {
    this.#terms = terms;
  }

  /** How many attempts were made. */
  get attempts(): number {
    return this.#attempts;
  }

  /** How many attempts have not ended. */
  get running(): number {
    return this.#running;
  }

  /** How many endpoints answered with a failure of their own. */
  get failedAnswers(): number {
    return this.#failedAnswers;
  }

  /** Why the last attempt failed, or why none was made. */
  get reason(): string {
    return this.#reason;
  }

  /** What may be said of the request if it ends now: a refusal is only true while nothing may have run it. */
  get outcome(): Outcome {
    return this.#mayHaveRun || this.#running > 0 ? "unknown" : "not-run";
  }

  /** Records that an attempt was sent. */
  startAttempt(): void {
    this.#attempts++;
    this.#running++;
    this.#executions++;
  }

  /**
   * Records how an attempt ended and returns whether its answer is final.
   *
   * @param end - How it ended.
   */
  settleAttempt(end: AttemptEnd): boolean {
    this.#running--;
    if (end.kind === "not-run") {
      this.#executions--;
      this.#reason = end.reason;
      return false;
    }
    if (end.kind === "lost") {
      this.#mayHaveRun = true;
      this.#reason = end.reason;
      return false;
    }
    if (!end.isFailure || !this.#terms.isRepeatable) {
      return true;
    }
    this.#mayHaveRun = true;
    this.#failedAnswers++;
    return false;
  }

  /**
   * Tells whether another attempt may be made.
   *
   * @param nowMs - The time.
   */
  canRetry(nowMs: number): boolean {
    const { isRepeatable, maxAttempts, startedAtMs, deadlineMs } = this.#terms;
    if (this.#executions >= maxAttempts) {
      return false;
    }
    if (this.#mayHaveRun && !isRepeatable) {
      return false;
    }
    const fullUntilMs = startedAtMs +
      FULL_RETRY_SHARE * (deadlineMs - startedAtMs);
    return !this.#isWaitingForRoom() || nowMs < fullUntilMs;
  }

  /**
   * Returns until when the ends of attempts are waited for before another one is made.
   *
   * @param nowMs - The time.
   */
  getWait(nowMs: number): AttemptWait {
    const { deadlineMs } = this.#terms;
    const untilMs = nowMs + this.#getPauseMs(nowMs);
    return untilMs < deadlineMs
      ? { untilMs, isDeadline: false }
      : { untilMs: deadlineMs, isDeadline: true };
  }

  #getPauseMs(nowMs: number): number {
    const { isRepeatable, maxAttempts, hedgeAfterMs } = this.#terms;
    if (this.#running === 0) {
      return this.#isWaitingForRoom() ? FULL_RETRY_MS : NEXT_ATTEMPT_MS;
    }
    const canHedge = isRepeatable && this.canRetry(nowMs) &&
      this.#attempts < maxAttempts;
    return canHedge ? hedgeAfterMs : Infinity;
  }

  #isWaitingForRoom(): boolean {
    return this.#reason === "full" || this.#reason === "no-endpoint";
  }
}
