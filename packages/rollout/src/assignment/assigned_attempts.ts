/**
 * Holds the sample attempts that a member executes for one lot owner's process.
 * An attempt starts at most once, and its end is retained until the owner
 * acknowledges it.
 * @module
 */
import type {
  AssignedAttempt,
  EndedAttempt,
  ExchangeReply,
  ExchangeRequest,
  GeneratedAttempt,
} from "./exchange.ts";
import { takeWithinMessageLimit } from "./message_limit.ts";

/** A report is not resent earlier, as its acknowledgement may be in flight. */
const RESEND_INTERVAL_MS = 2000;

/** A command that the member carries out on an attempt. */
export type AttemptCommand<Work> =
  | { readonly kind: "start"; readonly run: AssignedAttempt<Work> }
  | { readonly kind: "cancel"; readonly number: number };

/**
 * The sample attempts that a member executes for one owner's process. An
 * attempt starts once even if it is requested repeatedly, and its end is
 * retained until the owner acknowledges it.
 */
export class AssignedAttempts<Work, End> {
  readonly #running = new Set<number>();
  readonly #unscored = new Map<number, GeneratedAttempt>();
  readonly #ends = new Map<number, EndedAttempt<End>>();
  readonly #lastSentMs = new Map<number, number>();
  #sequence = 0;

  /** Returns the number of attempts that have not ended. */
  countRunning(): number {
    return this.#running.size;
  }

  /** Returns the number of ends that the owner has not acknowledged. */
  countEnds(): number {
    return this.#ends.size;
  }

  /**
   * Handles a request and returns the resulting commands. Returns undefined if
   * a request with the same or a higher sequence number was handled before; the
   * request then has no effect.
   *
   * @param request - The owner's request.
   */
  handleRequest(
    request: ExchangeRequest<Work>,
  ): readonly AttemptCommand<Work>[] | undefined {
    if (request.sequence <= this.#sequence) {
      return undefined;
    }
    this.#sequence = request.sequence;
    request.taken.forEach((number) => {
      this.#ends.delete(number);
      this.#lastSentMs.delete(number);
    });
    const commands: AttemptCommand<Work>[] = request.runs
      .filter(({ number }) =>
        !this.#running.has(number) && !this.#ends.has(number)
      )
      .map((attempt) => ({ kind: "start", run: attempt }));
    request.runs.filter(({ number }) => !this.#ends.has(number))
      .forEach(({ number }) => this.#running.add(number));
    for (const number of request.cancels) {
      if (this.#running.has(number)) {
        commands.push({ kind: "cancel", number });
      }
    }
    return commands;
  }

  /**
   * Handles an attempt whose text is complete but not yet scored.
   *
   * @param attempt - The attempt and its number of tokens.
   */
  handleGenerated(attempt: GeneratedAttempt): void {
    if (this.#running.has(attempt.number)) {
      this.#unscored.set(attempt.number, attempt);
    }
  }

  /**
   * Handles the end of an attempt.
   *
   * @param ended - The attempt and how it ended.
   */
  handleEnd(ended: EndedAttempt<End>): void {
    this.#unscored.delete(ended.number);
    this.#lastSentMs.delete(ended.number);
    if (this.#running.delete(ended.number)) {
      this.#ends.set(ended.number, ended);
    }
  }

  /** Lists the numbers of the attempts that have not ended. */
  listRunning(): readonly number[] {
    return [...this.#running];
  }

  /**
   * Returns whether a report to the owner is due.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   */
  hasDueReports(nowMs: number): boolean {
    return [...this.#ends.keys(), ...this.#unscored.keys()]
      .some((number) => this.#isReportDue(number, nowMs));
  }

  /**
   * Takes the reports that are due; ends are limited to what fits into one
   * message. A report is sent again after the resend interval unless the owner
   * acknowledges it.
   *
   * @param measureChars - Returns the number of characters in an end.
   * @param nowMs - The monotonic time, in milliseconds.
   */
  takeDueReports(
    measureChars: (end: End) => number,
    nowMs: number,
  ): Pick<ExchangeReply<End>, "ends" | "generated"> {
    const isUnsent = ({ number }: { readonly number: number }) =>
      this.#isReportDue(number, nowMs);
    const ends = takeWithinMessageLimit(
      [...this.#ends.values()].filter(isUnsent),
      ({ end }) => measureChars(end),
    );
    const generated = [...this.#unscored.values()].filter(isUnsent);
    for (const { number } of [...ends, ...generated]) {
      this.#lastSentMs.set(number, nowMs);
    }
    return { ends, generated };
  }

  #isReportDue(number: number, nowMs: number): boolean {
    const sentMs = this.#lastSentMs.get(number);
    return sentMs === undefined || nowMs - sentMs >= RESEND_INTERVAL_MS;
  }
}
