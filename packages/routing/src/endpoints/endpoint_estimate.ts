/**
 * Estimates the pace and the load of an endpoint that states how long work takes
 * there at the moment.
 *
 * Load pattern: endpoints differ in speed and are slower for some hundred
 * milliseconds at a time, while many hosts send to them and each host's last
 * report is old. What a host has last seen is therefore trusted less the older
 * it is, and fades toward what is usual at this endpoint.
 * @module
 */
import type { StatedLoad } from "./stated_load.ts";

/** Half-life of a stated slowdown, in milliseconds; it changes several times a second. */
const SLOWDOWN_HALF_LIFE_MS = 300;
/** Half-life of the number of other hosts' requests, in milliseconds; most of them end within it. */
const REQUESTS_HALF_LIFE_MS = 200;
/** Weight of the newest measurement in a slow average once it holds many. */
const AVERAGE_WEIGHT = 0.05;
/** Number of measurements at the usual pace that a new endpoint is credited with. */
const INITIAL_MEASUREMENTS = 4;
/** Maximum ratio of a measured duration to the usual one; a longer one belongs to a large request. */
const MAX_DURATION_RATIO = 4;

/** Pace and load of one endpoint, as estimated from what it stated last. */
export class EndpointEstimate {
  #reports = 0;
  #measurements = 0;
  #usualPace = 1;
  #slowdown = 1;
  #usualSlowdown = 1;
  #others = 0;
  #usualOthers = 0;
  #statedAtMs = -Infinity;

  /** Whether the endpoint has stated how long work takes there. */
  get isStated(): boolean {
    return this.#reports > 0;
  }

  /**
   * Records the load that the endpoint has stated in a response.
   *
   * @param stated - The load.
   * @param local - Number of requests that this host has in flight there, and the current time.
   */
  setStatedLoad(
    { running, waiting, slowdown }: StatedLoad,
    local: { readonly inFlight: number; readonly nowMs: number },
  ): void {
    if (slowdown === undefined) {
      return;
    }
    this.#reports++;
    const weight = Math.max(AVERAGE_WEIGHT, 1 / this.#reports);
    this.#slowdown = slowdown;
    this.#usualSlowdown += weight * (slowdown - this.#usualSlowdown);
    this.#others = Math.max(0, running + waiting - local.inFlight);
    this.#usualOthers += weight * (this.#others - this.#usualOthers);
    this.#statedAtMs = local.nowMs;
  }

  /**
   * Records how long a request took, the time in the queue included. The slowdown
   * that its response states is taken out, as it is known apart.
   *
   * @param ratio - The duration as a multiple of the usual one of such requests.
   */
  addDuration(ratio: number): void {
    this.#measurements++;
    const weight = Math.max(
      AVERAGE_WEIGHT,
      1 / (INITIAL_MEASUREMENTS + this.#measurements),
    );
    const pace = Math.min(MAX_DURATION_RATIO, ratio / this.#slowdown);
    this.#usualPace += weight * (pace - this.#usualPace);
  }

  /**
   * Sets the usual pace if it is measured elsewhere, with slow moments in it.
   *
   * @param ratio - The duration as a multiple of the usual one.
   */
  setUsualPace(ratio: number): void {
    this.#usualPace = ratio / this.#usualSlowdown;
  }

  /**
   * Records a response with a failure status. It counts as a slow one: its request
   * has to run again, and an endpoint that fails quickly must not look fast.
   */
  addFailure(): void {
    this.addDuration(MAX_DURATION_RATIO * this.#slowdown);
  }

  /**
   * Returns the expected duration of work as a multiple of the usual one of the
   * service.
   *
   * @param nowMs - The current time.
   */
  getPace(nowMs: number): number {
    return this.#usualPace * this.#computeFaded(
      { last: this.#slowdown, usual: this.#usualSlowdown },
      SLOWDOWN_HALF_LIFE_MS,
      nowMs,
    );
  }

  /**
   * Returns the expected number of other hosts' requests.
   *
   * @param nowMs - The current time.
   */
  getOthers(nowMs: number): number {
    return this.#computeFaded(
      { last: this.#others, usual: this.#usualOthers },
      REQUESTS_HALF_LIFE_MS,
      nowMs,
    );
  }

  /**
   * Returns the time since the endpoint stated its load, in milliseconds.
   *
   * @param nowMs - The current time.
   */
  getAgeMs(nowMs: number): number {
    return nowMs - this.#statedAtMs;
  }

  #computeFaded(
    value: { readonly last: number; readonly usual: number },
    halfLifeMs: number,
    nowMs: number,
  ): number {
    const trust = 2 ** (-this.getAgeMs(nowMs) / halfLifeMs);
    return value.usual + trust * (value.last - value.usual);
  }
}
