/**
 * Remembers which numbers of servers were ordered and where none were available.
 * An order states a number, so that a repetition adds no servers.
 *
 * Load pattern: reclaimable servers leave and none are available for some seconds;
 * the platform's API does not answer meanwhile. Orders are repeated with growing
 * pauses, and a number whose servers never came or have left is no longer expected.
 * @module
 */

/** First pause of a kind of server after an order without success, in milliseconds. */
const MIN_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 16_000;
/** Multiple of the boot time after which ordered servers that are not there are no longer expected. */
const EXPECTED_BOOTS = 2;

/** A kind of server of a service in a failure domain. */
export interface ServerKind {
  readonly service: string;
  readonly failureDomain: string;
  readonly isReclaimable: boolean;
}

interface Booked {
  readonly count: number;
  readonly orderedAtMs: number;
}

interface Pause {
  readonly untilMs: number;
  readonly pauseMs: number;
}

/** The numbers that were ordered. */
export class ServerOrderBook {
  readonly #booked = new Map<string, Booked>();
  readonly #pauses = new Map<string, Pause>();

  /**
   * Records a number that the platform has accepted, from this host or an earlier holder.
   *
   * @param kind - The kind of server.
   * @param count - The number.
   * @param nowMs - The current time, on the monotonic clock.
   */
  setOrdered(kind: ServerKind, count: number, nowMs: number): void {
    this.#booked.set(formatKind(kind), { count, orderedAtMs: nowMs });
    this.#pauses.delete(formatKind(kind));
  }

  /**
   * Pauses orders of a kind, as the last one had no success.
   *
   * @param kind - The kind of server.
   * @param nowMs - The current time, on the monotonic clock.
   */
  setPaused(kind: ServerKind, nowMs: number): void {
    const key = formatKind(kind);
    const last = this.#pauses.get(key)?.pauseMs ?? MIN_PAUSE_MS / 2;
    const pauseMs = Math.min(MAX_PAUSE_MS, 2 * last);
    this.#pauses.set(key, { untilMs: nowMs + pauseMs, pauseMs });
  }

  /**
   * Returns whether a kind may be ordered now.
   *
   * @param kind - The kind of server.
   * @param nowMs - The current time, on the monotonic clock.
   */
  canOrder(kind: ServerKind, nowMs: number): boolean {
    return nowMs >= (this.#pauses.get(formatKind(kind))?.untilMs ?? -Infinity);
  }

  /**
   * Returns the number of servers to expect: the ordered one for a while after the order, then those that are there.
   *
   * @param kind - The kind of server.
   * @param present - The number of servers that are there, how long new ones take to serve, and the current time on the monotonic clock.
   */
  getExpected(
    kind: ServerKind,
    { count, bootMs, nowMs }: {
      readonly count: number;
      readonly bootMs: number;
      readonly nowMs: number;
    },
  ): number {
    const booked = this.#booked.get(formatKind(kind));
    const isExpected = booked !== undefined &&
      nowMs - booked.orderedAtMs < EXPECTED_BOOTS * bootMs;
    return isExpected ? booked.count : count;
  }
}

function formatKind(kind: ServerKind): string {
  const { service, failureDomain, isReclaimable } = kind;
  return `${service}/${failureDomain}/${isReclaimable}`;
}
