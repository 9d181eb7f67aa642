/**
 * One request on its way to endpoints: makes the attempts that its plan allows.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import {
  type AttemptEnd,
  AttemptPlan,
} from "@briarhill/routing/attempts/attempt_plan";
import type {
  AttemptAnswer,
  CallOutcome,
  ForwardedCallOptions,
} from "./call_outcome.ts";

const FIRST_SERVER_ERROR_STATUS = 500;

type Wake = { readonly kind: "pause" | "deadline" | "cancelled" } | {
  readonly kind: "attempt";
  readonly number: number;
  readonly endpoint: string;
  readonly answer?: AttemptAnswer;
  readonly error?: unknown;
};

/** One request on its way to endpoints. */
export class ForwardedCall {
  readonly #options: ForwardedCallOptions;
  readonly #plan: AttemptPlan;
  readonly #tried = new Set<string>();
  readonly #running = new Map<number, Promise<Wake>>();
  readonly #abort = new AbortController();
  #lastAnswer: CallOutcome | undefined;

  constructor(options: ForwardedCallOptions) {
    this.#options = options;
    this.#plan = new AttemptPlan({
      ...options,
      startedAtMs: options.clock.getMonotonicMs(),
    });
  }

  /** How many times the request was sent. */
  get attempts(): number {
    return this.#plan.attempts;
  }

  /** How many endpoints answered with a failure of their own. */
  get failedAnswers(): number {
    return this.#plan.failedAnswers;
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
    this.#startAttempt();
    while (this.#plan.running > 0 || this.#canRetry()) {
      const wake = await this.#waitNext();
      if (wake.kind === "deadline" || wake.kind === "cancelled") {
        return this.#createFinal(wake.kind);
      }
      if (wake.kind === "attempt") {
        const outcome = this.#settleAttempt(wake);
        if (outcome !== undefined) {
          return outcome;
        }
      }
      const isDue = wake.kind === "pause" || this.#plan.running === 0;
      if (isDue && this.#canRetry()) {
        this.#startAttempt();
      }
    }
    return this.#createFinal(this.#plan.reason);
  }

  #canRetry(): boolean {
    return this.#plan.canRetry(this.#options.clock.getMonotonicMs());
  }

  #startAttempt(): void {
    const endpoint = this.#options.pickEndpoint(this.#tried);
    if (endpoint === undefined) {
      return;
    }
    const isSecond = this.#tried.has(endpoint.id);
    if (isSecond && this.#plan.running > 0) {
      return;
    }
    this.#tried.add(endpoint.id);
    this.#plan.startAttempt();
    const number = this.#plan.attempts;
    const attempt = { kind: "attempt", number, endpoint: endpoint.id } as const;
    this.#running.set(
      number,
      this.#options.sendAttempt(endpoint, this.#abort.signal).then(
        (answer) => ({ ...attempt, answer }),
        (error) => ({ ...attempt, error }),
      ),
    );
  }

  /** Returns the final outcome where the attempt decides it. */
  #settleAttempt(
    wake: Extract<Wake, { kind: "attempt" }>,
  ): CallOutcome | undefined {
    this.#running.delete(wake.number);
    this.#logFault(wake);
    const isFinal = this.#plan.settleAttempt(getAttemptEnd(wake));
    if (wake.answer === undefined || wake.answer.answer.isRefused) {
      return undefined;
    }
    this.#lastAnswer = {
      kind: "answered",
      whole: wake.answer.whole,
      endpoint: wake.endpoint,
    };
    return isFinal ? this.#lastAnswer : undefined;
  }

  /** Faults of ports are expected and told with the outcome; others are faults of this program. */
  #logFault({ error, endpoint }: Extract<Wake, { kind: "attempt" }>): void {
    if (error !== undefined && !(error instanceof PortError)) {
      this.#options.logger.error("attempt-failed", error, { endpoint });
    }
  }

  async #waitNext(): Promise<Wake> {
    const { clock } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const { untilMs, isDeadline } = this.#plan.getWait(nowMs);
    const stopped = new AbortController();
    const timer = clock.sleep(Math.max(0, untilMs - nowMs), stopped.signal)
      .then((): Wake => ({ kind: isDeadline ? "deadline" : "pause" }));
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

  #createFinal(reason: string): CallOutcome {
    if (this.#lastAnswer !== undefined) {
      return this.#lastAnswer;
    }
    return this.#plan.outcome === "not-run"
      ? { kind: "refused", reason }
      : { kind: "failed", reason };
  }
}

function getAttemptEnd(
  { answer, error }: Extract<Wake, { kind: "attempt" }>,
): AttemptEnd {
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
  const isFailure = answer.whole.status >= FIRST_SERVER_ERROR_STATUS;
  return { kind: "answered", isFailure };
}
