/**
 * Runs one forwarded request: starts the attempts that its `AttemptPlan` allows
 * and settles the final outcome. An attempt that is still in flight when the
 * outcome is final is aborted.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import {
  AttemptPlan,
  type AttemptResult,
  NO_ENDPOINT_REASON,
} from "@briarhill/routing/attempts/attempt_plan";
import type { Admission } from "../limits/endpoint_admission.ts";
import type {
  AttemptAnswer,
  CallOutcome,
  ForwardedCallOptions,
} from "./call_outcome.ts";

const FIRST_SERVER_ERROR_STATUS = 500;

type CallEvent = { readonly kind: "pause" | "deadline" | "cancelled" } | {
  readonly kind: "attempt";
  readonly number: number;
  readonly endpoint: string;
  readonly answer?: AttemptAnswer;
  readonly error?: unknown;
} | {
  /** The attempt got no endpoint and was not sent. */
  readonly kind: "unsent";
  readonly number: number;
  readonly isHedge: boolean;
  readonly admission: Exclude<Admission, { kind: "admitted" }>;
};

/** One forwarded request with all of its attempts. */
export class ForwardedCall {
  readonly #options: ForwardedCallOptions;
  readonly #plan: AttemptPlan;
  readonly #tried = new Set<string>();
  readonly #running = new Map<number, Promise<CallEvent>>();
  readonly #abort = new AbortController();
  #lastAnswer: CallOutcome | undefined;
  #retryAfterMs: number | undefined;
  #nextNumber = 0;

  constructor(options: ForwardedCallOptions) {
    this.#options = options;
    this.#plan = new AttemptPlan({
      ...options,
      startedAtMs: options.clock.getMonotonicMs(),
    });
  }

  /** The number of attempts that were started. */
  get attempts(): number {
    return this.#plan.attempts;
  }

  /** The number of attempts that the endpoint answered with a failure status. */
  get failures(): number {
    return this.#plan.failures;
  }

  /** Runs attempts until the request has a final outcome. */
  async run(): Promise<CallOutcome> {
    const cancel = () => this.#abort.abort();
    this.#options.signal.addEventListener("abort", cancel, { once: true });
    try {
      return await this.#runAttempts();
    } finally {
      this.#options.signal.removeEventListener("abort", cancel);
      this.#abort.abort();
    }
  }

  async #runAttempts(): Promise<CallOutcome> {
    this.#startAttempt();
    while (this.#plan.running > 0 || this.#canRetry()) {
      const event = await this.#waitForEvent();
      if (event.kind === "deadline" || event.kind === "cancelled") {
        return this.#createOutcome(event.kind);
      }
      if (event.kind === "unsent") {
        this.#cancelAttempt(event);
      }
      if (event.kind === "attempt") {
        const outcome = this.#settleAttempt(event);
        if (outcome !== undefined) {
          return outcome;
        }
      }
      const isDue = event.kind === "pause" || this.#plan.running === 0;
      if (isDue && this.#canRetry()) {
        this.#startAttempt();
      }
    }
    return this.#createOutcome(this.#plan.reason);
  }

  #canRetry(): boolean {
    return this.#plan.canRetry(this.#options.clock.getMonotonicMs());
  }

  #startAttempt(): void {
    const isHedge = this.#plan.running > 0;
    this.#plan.startAttempt();
    const number = this.#nextNumber++;
    this.#running.set(number, this.#runAttempt(number, isHedge));
  }

  async #runAttempt(number: number, isHedge: boolean): Promise<CallEvent> {
    const { admitAttempt, sendAttempt } = this.#options;
    const { signal } = this.#abort;
    const admission = await admitAttempt({
      tried: this.#tried,
      isHedge,
      signal,
    });
    if (admission.kind !== "admitted" || signal.aborted) {
      return {
        kind: "unsent",
        number,
        isHedge,
        admission: admission.kind === "admitted" ? { kind: "none" } : admission,
      };
    }
    const { endpoint } = admission;
    this.#tried.add(endpoint.id);
    const attempt = { kind: "attempt", number, endpoint: endpoint.id } as const;
    return await sendAttempt(endpoint, signal).then(
      (answer) => ({ ...attempt, answer }),
      (error) => ({ ...attempt, error }),
    );
  }

  #cancelAttempt(
    { number, isHedge, admission }: Extract<CallEvent, { kind: "unsent" }>,
  ): void {
    this.#running.delete(number);
    if (isHedge) {
      this.#plan.cancelAttempt();
      return;
    }
    if (admission.kind === "rejected") {
      this.#retryAfterMs = admission.retryAfterMs;
      this.#plan.closeAttempts(admission.reason);
      return;
    }
    this.#plan.cancelAttempt(NO_ENDPOINT_REASON);
  }

  /** Returns the final outcome if this attempt decides it. */
  #settleAttempt(
    event: Extract<CallEvent, { kind: "attempt" }>,
  ): CallOutcome | undefined {
    this.#running.delete(event.number);
    this.#logFault(event);
    const isFinal = this.#plan.settleAttempt(getAttemptEnd(event));
    if (event.answer === undefined || event.answer.answer.isRefused) {
      return undefined;
    }
    this.#lastAnswer = {
      kind: "answered",
      httpAnswer: event.answer.httpAnswer,
      endpoint: event.endpoint,
    };
    return isFinal ? this.#lastAnswer : undefined;
  }

  /** Logs only unexpected errors, which are bugs in this program; a `PortError` is expected and reported with the outcome. */
  #logFault(
    { error, endpoint }: Extract<CallEvent, { kind: "attempt" }>,
  ): void {
    if (error !== undefined && !(error instanceof PortError)) {
      this.#options.logger.error("attempt-failed", error, { endpoint });
    }
  }

  async #waitForEvent(): Promise<CallEvent> {
    const { clock } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const { untilMs, isDeadline } = this.#plan.getWait(nowMs);
    const waitEnded = new AbortController();
    const timer = clock.sleep(Math.max(0, untilMs - nowMs), waitEnded.signal)
      .then((): CallEvent => ({ kind: isDeadline ? "deadline" : "pause" }));
    const cancelled = new Promise<CallEvent>((resolve) => {
      this.#abort.signal.addEventListener(
        "abort",
        () => resolve({ kind: "cancelled" }),
        { once: true, signal: waitEnded.signal },
      );
      if (this.#abort.signal.aborted) {
        resolve({ kind: "cancelled" });
      }
    });
    try {
      return await Promise.race([
        ...this.#running.values(),
        timer,
        cancelled,
      ]);
    } finally {
      waitEnded.abort();
    }
  }

  #createOutcome(reason: string): CallOutcome {
    if (this.#lastAnswer !== undefined) {
      return this.#lastAnswer;
    }
    return this.#plan.outcome === "not-run"
      ? { kind: "refused", reason, retryAfterMs: this.#retryAfterMs }
      : { kind: "failed", reason };
  }
}

function getAttemptEnd(
  { answer, error }: Extract<CallEvent, { kind: "attempt" }>,
): AttemptResult {
  if (answer === undefined) {
    const isNotRun = error instanceof PortError && error.outcome === "not-run";
    const reason = error instanceof PortError ? error.fault : "fault";
    return { kind: isNotRun ? "not-run" : "lost", reason };
  }
  const { isRefused, isOtherEndpoint } = answer.answer;
  if (isRefused) {
    return {
      kind: "not-run",
      reason: isOtherEndpoint ? "other-endpoint" : "full",
    };
  }
  const isFailure = answer.httpAnswer.status >= FIRST_SERVER_ERROR_STATUS;
  return { kind: "answered", isFailure };
}
