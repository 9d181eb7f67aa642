/**
 * Options of the membership: intervals, timeouts and size limits.
 * @module
 */

/** Options of a `Membership`. */
export interface MembershipOptions {
  /** The number of rings, each of which links a host to a successor and a predecessor. */
  readonly rings: number;
  /** The maximum interval between two messages on a dialled link. */
  readonly heartbeatIntervalMs: number;
  /** A link on which nothing was received for this long is closed and replaced. */
  readonly receiveTimeoutMs: number;
  /** The minimum interval between two messages on a link. */
  readonly minSendIntervalMs: number;
  /** A dial that has not ended within this time counts as failed. */
  readonly dialTimeoutMs: number;
  /** The delay before a host is dialled again after its first failed dial. */
  readonly redialDelayMs: number;
  /** The maximum delay before a host is dialled again. */
  readonly maxRedialDelayMs: number;
  /** The number of consecutive failed dials after which a neighbour is suspected. */
  readonly dialsBeforeSuspicion: number;
  /** A suspected host that does not refute the suspicion within this time is declared failed. */
  readonly suspicionTimeoutMs: number;
  /** The time for which failed hosts are retained and probed. */
  readonly tombstoneRetentionMs: number;
  /** The mean interval between two probes of failed hosts and seeds. */
  readonly probeIntervalMs: number;
  /** A dialled link to a host that is no longer a neighbour is closed after this time. */
  readonly unwantedLinkTimeoutMs: number;
  /** The minimum interval between two complete tables on a link. */
  readonly minSyncIntervalMs: number;
  /** A gap between two ticks that is longer than this counts as a pause of the process. */
  readonly pauseThresholdMs: number;
  /** The maximum payload of a message in bytes, complete tables excepted. */
  readonly maxMessageBytes: number;
}

/** The default options. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  rings: 2,
  heartbeatIntervalMs: 2_000,
  receiveTimeoutMs: 5_000,
  minSendIntervalMs: 100,
  dialTimeoutMs: 2_000,
  redialDelayMs: 500,
  maxRedialDelayMs: 60_000,
  dialsBeforeSuspicion: 2,
  suspicionTimeoutMs: 6_000,
  tombstoneRetentionMs: 7_200_000,
  probeIntervalMs: 30_000,
  unwantedLinkTimeoutMs: 30_000,
  minSyncIntervalMs: 10_000,
  pauseThresholdMs: 1_500,
  maxMessageBytes: 1_200,
};

const MIN_GOSSIP_BYTES_PER_SECOND = 500;
const SHARED_GOSSIP_BYTES_PER_SECOND = 48_000;

/**
 * Returns the payload bytes that a host may send per second. The rate decreases
 * with the number of hosts, so that a large system stays within the traffic
 * budget of the control plane.
 *
 * @example
 * ```ts
 * const rate = getGossipBytesPerSecond(12); // 4000
 * ```
 * @param hosts - The number of running hosts.
 */
export function getGossipBytesPerSecond(hosts: number): number {
  return Math.max(
    MIN_GOSSIP_BYTES_PER_SECOND,
    Math.round(SHARED_GOSSIP_BYTES_PER_SECOND / Math.max(1, hosts)),
  );
}
