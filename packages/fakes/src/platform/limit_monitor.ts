/**
 * States a request limit for an endpoint and checks that all hosts together keep it.
 * @module
 */

/** The time after which hosts have to keep a limit, in milliseconds (a bound of the platform). */
const SETTLE_MS = 3_000;
/** The period over which requests are counted, in milliseconds (a bound of the platform). */
const PERIOD_MS = 4_000;
const MS_PER_S = 1_000;
/** A limit may be exceeded by half and five requests (a bound of the platform). */
const OVERRUN_RATIO = 1.5;
const OVERRUN_REQUESTS = 5;

/** A period in which an endpoint got more requests than its limit allows. */
export interface LimitOverrun {
  readonly ratePerS: number;
  readonly requests: number;
  readonly allowed: number;
}

/** The limit of one endpoint and the requests that arrived while it was stated. */
export class LimitMonitor {
  /** The value of the header, or undefined if there is no limit. */
  #text: string | undefined;
  #statedAtMs = Infinity;
  #arrivalsMs: readonly number[] = [];
  /** The number of requests since the limit was stated. */
  arrivals = 0;
  readonly overruns: LimitOverrun[] = [];

  /** The value that responses state, or undefined. */
  get text(): string | undefined {
    return this.#text;
  }

  /**
   * States a limit in all responses from now on. A change of the limit is in force at once.
   *
   * @param text - The value to state: a rate per second, or any text.
   */
  setLimit(text: string): void {
    if (!isRate(this.#text)) {
      this.#statedAtMs = Date.now();
    }
    this.#text = text;
    this.#arrivalsMs = [];
    this.arrivals = 0;
  }

  /** Ends the limit. */
  clearLimit(): void {
    this.#text = undefined;
    this.#arrivalsMs = [];
  }

  /** Records an attempt; a limit does not cover reports and orders. */
  addArrival(): void {
    if (!isRate(this.#text)) {
      return;
    }
    const ratePerS = Number(this.#text);
    const nowMs = Date.now();
    this.arrivals++;
    if (nowMs - this.#statedAtMs < SETTLE_MS) {
      return;
    }
    this.#arrivalsMs = [...this.#arrivalsMs, nowMs]
      .filter((atMs) => nowMs - atMs <= PERIOD_MS);
    const allowed = Math.floor(
      OVERRUN_RATIO * ratePerS * PERIOD_MS / MS_PER_S + OVERRUN_REQUESTS,
    );
    const requests = this.#arrivalsMs.length;
    if (requests > allowed) {
      this.overruns.push({ ratePerS, requests, allowed });
    }
  }
}

/** Whether a value is a limit; hosts can't know of one before. */
function isRate(text: string | undefined): boolean {
  return text !== undefined && Number(text) >= 0;
}
