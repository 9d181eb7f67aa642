/**
 * Runs the attempts that one process of an owner has assigned to this host.
 * @module
 */
import type { Incarnation } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import {
  AssignedAttempts,
  type AttemptCommand,
} from "@briarhill/rollout/assignment/assigned_attempts";
import type {
  AssignedAttempt,
  ExchangeReply,
  ExchangeRequest,
} from "@briarhill/rollout/assignment/exchange";
import {
  measureEndChars,
  type SampleAttempts,
  type SampleEnd,
  type SampleWork,
} from "@briarhill/rollout/assignment/sample_work";
import type { SampleAttempt } from "./sample_attempt.ts";

/** Delay that collects results which arrive close together into one reply. */
const BATCH_DELAY_MS = 10;
const OWNER_TIMEOUT_MS = 15_000;
const REFUSED_RETRY_MS = 1000;

/** Options of `OwnerSession`. */
export interface OwnerSessionOptions {
  readonly clock: Clock;
  /** The incarnation of the owner's process. */
  readonly owner: Incarnation;
  /** Higher than the number of any earlier session. */
  readonly session: number;
  /** Creates an attempt; returns undefined if this host accepts none now. */
  readonly createAttempt: (work: SampleWork) => SampleAttempt | undefined;
}

/** The part of a reply that a session contributes. */
export type SampleReply = Omit<ExchangeReply<SampleEnd>, "incarnation">;

/** The attempts that one process of an owner has assigned to this host. */
export class OwnerSession {
  readonly owner: Incarnation;
  readonly #options: OwnerSessionOptions;
  readonly #runs: SampleAttempts = new AssignedAttempts();
  readonly #attempts = new Map<number, SampleAttempt>();
  #lastRequestMs: number;
  #sequence = 0;
  #wake: () => void = () => {};

  constructor(options: OwnerSessionOptions) {
    this.owner = options.owner;
    this.#options = options;
    this.#lastRequestMs = options.clock.getMonotonicMs();
  }

  /**
   * Handles a request and replies when there are results, a later request has
   * arrived or the wait time has elapsed.
   *
   * @param request - The request.
   * @param waitMs - The longest time to wait for results.
   */
  async handleExchange(
    request: ExchangeRequest<SampleWork>,
    waitMs: number,
  ): Promise<SampleReply> {
    const { clock, session } = this.#options;
    const commands = this.#runs.handleRequest(request);
    if (commands === undefined) {
      return { isAccepted: false, session, ends: [], generated: [] };
    }
    this.#lastRequestMs = clock.getMonotonicMs();
    this.#sequence = request.sequence;
    this.#wake();
    commands.forEach((command) => this.#apply(command));
    const endMs = clock.getMonotonicMs() + waitMs;
    await this.#waitForResults(request.sequence, endMs);
    if (request.sequence !== this.#sequence) {
      return { isAccepted: true, session, ends: [], generated: [] };
    }
    const nowMs = clock.getMonotonicMs();
    const results = this.#runs.takeDueReports(measureEndChars, nowMs);
    return { isAccepted: true, session, ...results };
  }

  /** Cancels stale attempts, or all if the owner's requests have timed out. */
  advance(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (nowMs - this.#lastRequestMs > OWNER_TIMEOUT_MS) {
      this.cancelAll();
    }
    this.#attempts.forEach((attempt) => attempt.cancelStale());
  }

  /** Cancels all attempts. */
  cancelAll(): void {
    this.#attempts.forEach((attempt) => attempt.cancel());
  }

  /** Returns whether attempts run or have results that the owner has not received. */
  hasPendingAttempts(): boolean {
    return this.#runs.countRunning() + this.#runs.countEnds() > 0;
  }

  /** Returns whether the session has had no request for twice the owner timeout. */
  isExpired(): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    return nowMs - this.#lastRequestMs > 2 * OWNER_TIMEOUT_MS;
  }

  async #waitForResults(sequence: number, endMs: number): Promise<void> {
    const { clock } = this.#options;
    let nowMs = clock.getMonotonicMs();
    while (
      sequence === this.#sequence && nowMs < endMs &&
      !this.#runs.hasDueReports(nowMs)
    ) {
      const ended = new AbortController();
      const woken = new Promise<void>((resolve) => this.#wake = resolve);
      await Promise.race([woken, clock.sleep(endMs - nowMs, ended.signal)]);
      ended.abort();
      nowMs = clock.getMonotonicMs();
    }
  }

  #apply(command: AttemptCommand<SampleWork>): void {
    if (command.kind === "cancel") {
      this.#attempts.get(command.number)?.cancel();
      return;
    }
    void this.#runAttempt(command.run);
  }

  async #runAttempt(
    { number, work }: AssignedAttempt<SampleWork>,
  ): Promise<void> {
    const attempt = this.#options.createAttempt(work);
    if (attempt === undefined) {
      this.#runs.handleEnd({ number, end: buildRefusal(work) });
    } else {
      this.#attempts.set(number, attempt);
      const end = await attempt.run((tokens) => {
        this.#runs.handleGenerated({ number, tokens });
        this.#scheduleWake();
      });
      this.#attempts.delete(number);
      this.#runs.handleEnd({ number, end });
    }
    this.#scheduleWake();
  }

  #scheduleWake(): void {
    this.#options.clock.setTimer(BATCH_DELAY_MS, () => this.#wake());
  }
}

function buildRefusal({ prefix }: SampleWork): SampleEnd {
  return {
    kind: "broken",
    retryAfterMs: REFUSED_RETRY_MS,
    ...(prefix === undefined ? {} : { prefix }),
  };
}
