/**
 * Runs one forwarded request: starts the attempts that its `AttemptPlan` allows
 * and settles the final outcome. An attempt that is still in flight when the
 * outcome is final is aborted.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import {
  AttemptPlan,
  NO_ENDPOINT_REASON,
} from "@briarhill/routing/attempts/attempt_plan";
import { type CallEvent, getAttemptResult } from "./call_event.ts";
import type {
  CallOutcome,
  ForwardedCallOptions,
  RelayedAdmission,
} from "./call_outcome.ts";

/** One forwarded request with all of its attempts. */
export class ForwardedCall {
  readonly #options: ForwardedCallOptions;
  readonly #startedAtMs: number;
  readonly #plan: AttemptPlan;
  readonly #tried = new Set<string>();
  readonly #running = new Map<number, Promise<CallEvent>>();
  readonly #abort = new AbortController();
  #lastAnswer: CallOutcome | undefined;
  #retryAfterMs: number | undefined;
  #nextNumber = 0;

  constructor(options: ForwardedCallOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.getMonotonicMs();
    this.#plan = new AttemptPlan({
      ...options,
      startedAtMs: this.#startedAtMs,
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
      const outcome = this.#applyEnd(event);
      if (outcome !== undefined) {
        return outcome;
      }
      const isDue = event.kind === "pause" || this.#plan.running === 0;
      if (isDue && this.#canRetry()) {
        this.#startAttempt();
      }
    }
    return this.#createOutcome(this.#plan.reason);
  }

  #applyEnd(event: CallEvent): CallOutcome | undefined {
    switch (event.kind) {
      case "attempt":
        return this.#settleAttempt(event);
      case "relayed":
        return this.#settleRelayed(event);
      default:
        return undefined;
    }
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
      startedAtMs: this.#startedAtMs,
      signal,
    });
    if (signal.aborted) {
      return { kind: "unsent", number, isHedge, admission: { kind: "none" } };
    }
    if (admission.kind === "relayed") {
      return await this.#forwardAttempts(number, admission);
    }
    if (admission.kind !== "admitted") {
      return { kind: "unsent", number, isHedge, admission };
    }
    const { endpoint } = admission;
    this.#tried.add(endpoint.id);
    const attempt = { kind: "attempt", number, endpoint: endpoint.id } as const;
    return await sendAttempt(endpoint, signal).then(
      (answer) => ({ ...attempt, answer }),
      (error) => ({ ...attempt, error }),
    );
  }

  async #forwardAttempts(
    number: number,
    admission: RelayedAdmission,
  ): Promise<CallEvent> {
    const reply = await this.#options.relayAttempts(admission, {
      attempts: this.#plan.assignAttempts(),
      signal: this.#abort.signal,
    });
    return { kind: "relayed", number, reply };
  }

  /** Returns the final outcome if the other host has decided it. */
  #settleRelayed(
    { number, reply }: Extract<CallEvent, { kind: "relayed" }>,
  ): CallOutcome | undefined {
    this.#running.delete(number);
    switch (reply.kind) {
      case "answered":
        this.#plan.settleAssigned({ kind: "answered", isFailure: false });
        return {
          kind: "answered",
          httpAnswer: reply.response,
          endpoint: reply.endpoint,
        };
      case "unknown":
        this.#plan.settleAssigned({ kind: "lost", reason: reply.reason });
        return undefined;
      case "not-run":
        // The other host has tried for as long as it makes sense.
        this.#retryAfterMs = reply.retryAfterMs;
        this.#plan.settleAssigned({ kind: "not-run", reason: reply.reason });
        this.#plan.closeRetries();
        return undefined;
    }
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
    const isFinal = this.#plan.settleAttempt(getAttemptResult(event));
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
