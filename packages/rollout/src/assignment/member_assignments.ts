/**
 * Tracks the attempts that a lot owner has assigned to one member.
 * @module
 */
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";
import type {
  AssignedAttempt,
  AttemptOutcome,
  ExchangeReply,
  ExchangeRequest,
} from "./exchange.ts";
import { takeWithinMessageLimit } from "./message_limit.ts";

const MAX_REQUESTS_IN_FLIGHT = 4;
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 5000;

type InFlightRequest = Pick<ExchangeRequest<unknown>, "cancels" | "taken"> & {
  readonly attempts: readonly number[];
};

/**
 * The attempts assigned to one member. The contents of a request are sent again
 * until a reply confirms that request.
 */
export class MemberAssignments<Work, End> {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** The monotonic time until which the member is assigned no new attempts. */
  suspendedUntilMs = 0;
  isUsable = true;
  #lastContactMs: number;
  #retryAtMs = 0;
  #backoffMs = 0;
  /** The session that the member last reported for this owner. */
  #session: number | undefined;
  readonly #openAttempts = new Map<number, Work>();
  readonly #generated = new Set<number>();
  readonly #unsentAttempts = new Set<number>();
  readonly #unsentCancels = new Set<number>();
  /** Cancelled open attempts; a resent attempt is followed by its cancel. */
  readonly #cancelled = new Set<number>();
  readonly #unsentAcknowledgements = new Set<number>();
  readonly #inFlight = new Map<number, InFlightRequest>();

  constructor(
    member: { readonly host: HostId; readonly incarnation: Incarnation },
    nowMs: number,
  ) {
    this.host = member.host;
    this.incarnation = member.incarnation;
    this.#lastContactMs = nowMs;
  }

  /** Returns the number of attempts that occupy an engine or wait for one. */
  countLoad(): number {
    return this.#openAttempts.size - this.#generated.size;
  }

  /**
   * Adds an attempt, to be sent with the next request.
   *
   * @param attempt - The attempt.
   * @param nowMs - The monotonic time, in milliseconds.
   */
  addAttempt(attempt: AssignedAttempt<Work>, nowMs: number): void {
    if (this.#openAttempts.size === 0) {
      this.#lastContactMs = nowMs;
    }
    this.#openAttempts.set(attempt.number, attempt.work);
    this.#unsentAttempts.add(attempt.number);
  }

  /**
   * Asks the member to cancel an attempt, which stays open until the member
   * reports its end.
   *
   * @param number - The attempt's number.
   */
  cancelAttempt(number: number): void {
    if (this.#openAttempts.has(number)) {
      this.#unsentCancels.add(number);
      this.#cancelled.add(number);
    }
  }

  /**
   * Returns whether a request should be sent now. While attempts are open, one
   * is always in flight; new attempts and cancels do not wait for its reply.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   */
  isDue(nowMs: number): boolean {
    if (
      nowMs < this.#retryAtMs || this.#inFlight.size >= MAX_REQUESTS_IN_FLIGHT
    ) {
      return false;
    }
    const hasUnsent = this.#unsentAttempts.size > 0 ||
      this.#unsentCancels.size > 0;
    const isInFlight = this.#inFlight.size > 0;
    return hasUnsent ||
      (!isInFlight &&
        (this.#openAttempts.size > 0 || this.#unsentAcknowledgements.size > 0));
  }

  /**
   * Returns the time since the member's last reply, or 0 while it has no open
   * attempts.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   */
  getSilenceMs(nowMs: number): number {
    return this.#openAttempts.size === 0 ? 0 : nowMs - this.#lastContactMs;
  }

  /** Returns whether any attempt is open. */
  hasAttempts(): boolean {
    return this.#openAttempts.size > 0;
  }

  /**
   * Builds the next request from what is unsent, and records it as in flight.
   *
   * @param sequence - The request's sequence number, higher than all before.
   * @param measureChars - Returns the characters in an attempt's work.
   */
  takeRequest(
    sequence: number,
    measureChars: (work: Work) => number,
  ): ExchangeRequest<Work> {
    const attempts = takeWithinMessageLimit(
      [...this.#unsentAttempts].flatMap((number) => this.#getAttempt(number)),
      ({ work }) => measureChars(work),
    );
    const cancels = [...this.#unsentCancels];
    const taken = [...this.#unsentAcknowledgements];
    const numbers = attempts.map(({ number }) => number);
    numbers.forEach((number) => this.#unsentAttempts.delete(number));
    this.#unsentCancels.clear();
    this.#unsentAcknowledgements.clear();
    this.#inFlight.set(sequence, { attempts: numbers, cancels, taken });
    return {
      sequence,
      incarnation: this.incarnation,
      runs: attempts,
      cancels,
      taken,
    };
  }

  /**
   * Handles the reply to a request. Reports on attempts that are no longer open
   * have no outcome; their ends are acknowledged all the same.
   *
   * @param sequence - The sequence number of the request.
   * @param reply - The member's reply.
   * @param nowMs - The monotonic time, in milliseconds.
   */
  handleReply(
    sequence: number,
    reply: ExchangeReply<End>,
    nowMs: number,
  ): readonly AttemptOutcome<End>[] {
    this.#lastContactMs = nowMs;
    this.#retryAtMs = 0;
    this.#backoffMs = 0;
    const knownSession = this.#session ?? reply.session;
    const outcomes: AttemptOutcome<End>[] = [];
    if (reply.isAccepted && reply.session >= knownSession) {
      this.#inFlight.delete(sequence);
      this.#session = reply.session;
    } else {
      this.#scheduleResend(sequence);
    }
    if (reply.isAccepted && reply.session > knownSession) {
      // The member has discarded this owner's attempts.
      outcomes.push(...this.drainAttempts());
    }
    for (const { number, tokens } of reply.generated) {
      if (this.#openAttempts.has(number) && !this.#generated.has(number)) {
        this.#generated.add(number);
        outcomes.push({ kind: "generated", number, tokens });
      }
    }
    for (const { number, end } of reply.ends) {
      this.#unsentAcknowledgements.add(number);
      if (this.#removeAttempt(number)) {
        outcomes.push({ kind: "ended", number, end, host: this.host });
      }
    }
    return outcomes;
  }

  /**
   * Requeues what a request that may not have arrived held, and backs off.
   *
   * @param sequence - The sequence number of the request.
   * @param nowMs - The monotonic time, in milliseconds.
   */
  handleFailure(sequence: number, nowMs: number): void {
    this.#scheduleResend(sequence);
    this.#backoffMs = Math.min(
      RETRY_MAX_MS,
      Math.max(RETRY_MIN_MS, this.#backoffMs * 2),
    );
    this.#retryAtMs = nowMs + this.#backoffMs;
  }

  /** Withdraws all attempts; later reports on them have no outcome. */
  drainAttempts(): readonly AttemptOutcome<End>[] {
    const numbers = [...this.#openAttempts.keys()];
    numbers.forEach((number) => {
      this.#removeAttempt(number);
      this.#unsentCancels.add(number);
    });
    return numbers.map((number) => ({ kind: "withdrawn", number }));
  }

  #getAttempt(number: number): readonly AssignedAttempt<Work>[] {
    const work = this.#openAttempts.get(number);
    return work === undefined ? [] : [{ number, work }];
  }

  #removeAttempt(number: number): boolean {
    this.#unsentAttempts.delete(number);
    this.#generated.delete(number);
    this.#cancelled.delete(number);
    return this.#openAttempts.delete(number);
  }

  #scheduleResend(sequence: number): void {
    const request = this.#inFlight.get(sequence);
    this.#inFlight.delete(sequence);
    request?.attempts.filter((number) => this.#openAttempts.has(number))
      .forEach((number) => {
        this.#unsentAttempts.add(number);
        if (this.#cancelled.has(number)) {
          this.#unsentCancels.add(number);
        }
      });
    request?.cancels.forEach((number) => this.#unsentCancels.add(number));
    request?.taken.forEach((number) =>
      this.#unsentAcknowledgements.add(number)
    );
  }
}
