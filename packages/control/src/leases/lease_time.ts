/**
 * The lease term, its safety margin and its measurement on two clocks. The sum
 * of the margins must cover the difference of the clock rates over one term.
 * @module
 */

/** How long a lease is held after the record that claimed or renewed it. */
export const LEASE_TERM_MS = 15_000;

/** The interval between the renewals of a holder. */
export const LEASE_RENEWAL_INTERVAL_MS = 5_000;

/**
 * A holder stops this long before the end of its term and a claimant waits this
 * long beyond it, which covers clocks whose rates differ by up to 3 %.
 */
export const LEASE_MARGIN_MS = 500;

/** How long a claimant waits after it has observed the holder's last record. */
export const LEASE_WAIT_MS: number = LEASE_TERM_MS + LEASE_MARGIN_MS;

/** A point in time on both clocks of a host. */
export interface LeaseTime {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/**
 * Returns the time that has elapsed since an earlier point in time. The wall
 * clock is used only if it shows more, because some monotonic clocks stop while
 * a machine is suspended.
 *
 * @example
 * ```ts
 * computeElapsedMs(sentAt, now) >= LEASE_TERM_MS;
 * ```
 * @param since - The earlier point in time.
 * @param now - The later point in time.
 */
export function computeElapsedMs(since: LeaseTime, now: LeaseTime): number {
  return Math.max(
    now.monotonicMs - since.monotonicMs,
    now.wallMs - since.wallMs,
  );
}

/**
 * Returns whether a holder may no longer act on a lease.
 *
 * @example
 * ```ts
 * if (isTermExpired(sentAt, now)) {
 *   leader.stop();
 * }
 * ```
 * @param sentAt - When the holder sent its newest valid record.
 * @param now - The host's time when the result is used.
 */
export function isTermExpired(sentAt: LeaseTime, now: LeaseTime): boolean {
  return computeElapsedMs(sentAt, now) >= LEASE_TERM_MS - LEASE_MARGIN_MS;
}
