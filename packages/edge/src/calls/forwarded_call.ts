/**
 * One request on its way to endpoints: attempts, hedges and its final outcome.
 *
 * Load pattern: an endpoint that is dark, slow or spoils answers holds single
 * requests. A repeatable one is sent once more to another endpoint after a
 * multiple of the usual time, and the first whole answer counts.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import type {
  AttemptAnswer,
  CallOutcome,
  ForwardedCallOptions,
} from "./call_outcome.ts";

/** The pause before an endpoint that was full is asked again, in milliseconds. */
const FULL_RETRY_MS = 25;
/** The share of a request's time in which full endpoints are asked again. */
const FULL_RETRY_SHARE = 0.5;

type Wake = { readonly kind: "hedge" | "deadline" | "cancelled" } | {
  readonly kind: "attempt";
  readonly number: number;
  readonly endpoint: string;
  readonly answer?: AttemptAnswer;
  readonly error?: unknown;
};

/** One request on its way to endpoints. */
export class ForwardedCall {
  readonly #options: ForwardedCallOptions;
  readonly #tried = new Set<string>();
  readonly #running = new Map<number, Promise<Wake>>();
  readonly #abort = new AbortController();
  readonly #startedAtMs: number;
  #attempts = 0;
  #executions = 0;
  #failedAnswers = 0;
  #mayHaveRun = false;
  #lastAnswer: CallOutcome | undefined;
  #reason = "no-endpoint";

  constructor(options: ForwardedCallOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.getMonotonicMs();
  }

  /** How many times the request was sent. */
  get attempts(): number {
    return this.#attempts;
  }

  /** How many endpoints answered with a failure of their own. */
  get failedAnswers(): number {
    return this.#failedAnswers;
  }

  /** Sends the request until it has a final outcome. */
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
    let shouldStart = true;
    while (true) {
      if (shouldStart) {
        this.#startAttempt();
      }
      if (this.#running.size === 0 && !this.#canRetry()) {
        return this.#createFinal();
      }
      const wake = await this.#waitNext();
      if (wake.kind === "deadline" || wake.kind === "cancelled") {
        this.#reason = wake.kind;
        return this.#createFinal();
      }
      if (wake.kind === "attempt") {
        const outcome = this.#settleAttempt(wake);
        if (outcome !== undefined) {
          return outcome;
        }
      }
      shouldStart = this.#canRetry() &&
        (wake.kind === "hedge" || this.#running.size === 0);
    }
  }

  #startAttempt(): void {
    const endpoint = this.#options.pickEndpoint(this.#tried);
    if (endpoint === undefined) {
      return;
    }
    const isSecond = this.#tried.has(endpoint.id);
    if (isSecond && this.#running.size > 0) {
      return;
    }
    this.#tried.add(endpoint.id);
    this.#executions++;
    const number = ++this.#attempts;
    this.#running.set(
      number,
      this.#options.sendAttempt(endpoint, this.#abort.signal).then(
        (answer) => ({
          kind: "attempt",
          number,
          endpoint: endpoint.id,
          answer,
        }),
        (error) => ({ kind: "attempt", number, endpoint: endpoint.id, error }),
      ),
    );
  }

  /** Returns the final outcome where the attempt decides it. */
  #settleAttempt(
    wake: Extract<Wake, { kind: "attempt" }>,
  ): CallOutcome | undefined {
    this.#running.delete(wake.number);
    const { answer, endpoint } = wake;
    if (answer === undefined) {
      const { error } = wake;
      const isNotRun = error instanceof PortError &&
        error.outcome === "not-run";
      if (isNotRun) {
        this.#executions--;
      } else {
        this.#mayHaveRun = true;
      }
      this.#reason = error instanceof PortError ? error.fault : "fault";
      return undefined;
    }
    if (answer.answer.isRefused) {
      this.#executions--;
      this.#reason = answer.answer.isOtherEndpoint ? "other-endpoint" : "full";
      return undefined;
    }
    const { status } = answer.whole;
    const outcome = {
      kind: "answered" as const,
      whole: answer.whole,
      endpoint,
    };
    const isFinal = status < 500 || !this.#options.isRepeatable;
    if (isFinal) {
      return outcome;
    }
    this.#mayHaveRun = true;
    this.#failedAnswers++;
    this.#lastAnswer = outcome;
    return undefined;
  }

  #canRetry(): boolean {
    const { isRepeatable, maxAttempts, clock, deadlineMs } = this.#options;
    if (this.#executions >= maxAttempts) {
      return false;
    }
    if (this.#mayHaveRun && !isRepeatable) {
      return false;
    }
    const nowMs = clock.getMonotonicMs();
    const budgetMs = FULL_RETRY_SHARE * (deadlineMs - this.#startedAtMs);
    return this.#reason !== "full" && this.#reason !== "no-endpoint" ||
      nowMs < this.#startedAtMs + budgetMs;
  }

  async #waitNext(): Promise<Wake> {
    const { clock, deadlineMs, hedgeAfterMs, isRepeatable } = this.#options;
    const leftMs = deadlineMs - clock.getMonotonicMs();
    const isIdle = this.#running.size === 0;
    const canHedge = isRepeatable && this.#canRetry() &&
      this.#attempts < this.#options.maxAttempts;
    const pauseMs = isIdle
      ? (this.#reason === "full" || this.#reason === "no-endpoint"
        ? FULL_RETRY_MS
        : 1)
      : canHedge
      ? hedgeAfterMs
      : Infinity;
    const timerMs = Math.max(0, Math.min(leftMs, pauseMs));
    const stopped = new AbortController();
    const timer = clock.sleep(timerMs, stopped.signal).then((): Wake => ({
      kind: leftMs <= pauseMs ? "deadline" : "hedge",
    }));
    const cancelled = new Promise<Wake>((resolve) => {
      this.#abort.signal.addEventListener(
        "abort",
        () => resolve({ kind: "cancelled" }),
        { once: true, signal: stopped.signal },
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
      stopped.abort();
    }
  }

  /** A refusal says that the request has not run, so nothing sent may be open. */
  #createFinal(): CallOutcome {
    if (this.#lastAnswer !== undefined) {
      return this.#lastAnswer;
    }
    const outcome: Outcome = this.#mayHaveRun || this.#running.size > 0
      ? "unknown"
      : "not-run";
    return outcome === "not-run"
      ? { kind: "refused", reason: this.#reason }
      : { kind: "failed", reason: this.#reason };
  }
}
