/**
 * Measures the pace at which one attempt at a sample receives its events.
 *
 * Under load, an attempt first waits in the queue of its engine, and the engine
 * pauses while it loads weights and slows down for moments while it shares its
 * machine. None of these tells how long the remaining events take, so the pace
 * is the median of the latest intervals between events.
 * @module
 */

/** Number of latest intervals that count; a slow moment covers less than half of them. */
const MAX_INTERVALS = 16;
/** With fewer intervals, the pace is unknown. */
const MIN_INTERVALS = 4;

/** The times of the events of one attempt. */
export class AttemptPace {
  readonly #startedAtMs: number;
  #lastEventAtMs: number | undefined;
  #waitMs: number | undefined;
  readonly #intervals: number[] = [];

  /** @param startedAtMs - When the attempt was started, on the monotonic clock. */
  constructor(startedAtMs: number) {
    this.#startedAtMs = startedAtMs;
  }

  /**
   * Records events that have arrived together; a busy host reads several at once.
   *
   * @param count - The number of events.
   * @param nowMs - The current time on the monotonic clock.
   */
  addEvents(count: number, nowMs: number): void {
    if (count === 0) {
      return;
    }
    if (this.#lastEventAtMs !== undefined) {
      const intervalMs = (nowMs - this.#lastEventAtMs) / count;
      this.#intervals.push(
        ...Array<number>(Math.min(count, MAX_INTERVALS)).fill(intervalMs),
      );
      this.#intervals.splice(0, this.#intervals.length - MAX_INTERVALS);
    }
    this.#waitMs ??= nowMs - this.#startedAtMs;
    this.#lastEventAtMs = nowMs;
  }

  /** How long the attempt has waited for its first event, in milliseconds; undefined until then. */
  get waitMs(): number | undefined {
    return this.#waitMs;
  }

  /** Returns the usual time between two events in milliseconds, or undefined after too few events. */
  getEventMs(): number | undefined {
    const { length } = this.#intervals;
    return length < MIN_INTERVALS
      ? undefined
      : this.#intervals.toSorted((a, b) => a - b)[Math.floor(length / 2)];
  }

  /**
   * Returns how long the attempt has waited for its next event, in milliseconds.
   *
   * @param nowMs - The current time on the monotonic clock.
   */
  getSilenceMs(nowMs: number): number {
    return nowMs - (this.#lastEventAtMs ?? this.#startedAtMs);
  }
}
