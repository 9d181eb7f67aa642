/**
 * Whether a host takes part in duties that are shared among hosts.
 *
 * Load pattern: hosts of a quarter of the size stand among larger ones, and a
 * step's streams fill the processor of a small one, so that all its samples
 * come late. Small hosts leave such duties to larger ones as long as there are
 * enough of these.
 * @module
 */

/** A host with this much processor time takes duties at once, in cores. */
const LARGE_HOST_CORES = 0.5;
/** With fewer members than this, small hosts take duties too. */
const ENOUGH_MEMBERS = 3;

/** What a host knows when it decides. */
export interface DutyShareInput {
  /** The processor time of this host, in cores. */
  readonly cores: number;
  readonly isMember: boolean;
  /** The members that the log lists, this host included. */
  readonly members: number;
}

/**
 * Tells whether a host should be a member. A small host that has joined stays,
 * so that its work is not passed on without need.
 *
 * @example
 * ```ts
 * const joins = shouldTakeDuties({ cores: 0.32, isMember: false, members: 12 });
 * ```
 * @param input - What the host knows.
 */
export function shouldTakeDuties(input: DutyShareInput): boolean {
  const { cores, isMember, members } = input;
  return isMember || cores >= LARGE_HOST_CORES || members < ENOUGH_MEMBERS;
}
