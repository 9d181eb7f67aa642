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

/** How often a host that holds duties says that it is there, in milliseconds; there are no more such hosts than duties. */
const HOLDER_JOIN_EVERY_MS = 250;
/** The same for a host that holds none; their number grows with the fleet. */
const JOIN_EVERY_MS = 600;
/** How long after its start a host joins as often as a holder, in milliseconds: when all hosts start at once, duties pass on for some seconds. */
const STARTING_MS = 5_000;

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

/** What the pause between two joins follows from. */
export interface JoinPauseInput {
  readonly holdsDuties: boolean;
  /** How long ago this host was started, in milliseconds. */
  readonly sinceStartMs: number;
}

/**
 * Returns the pause between two joins of a host, in milliseconds. Duties pass
 * on with the joins, so that those who hold them, and hosts that have just
 * started, join more often.
 *
 * @example
 * ```ts
 * const pauseMs = getJoinPause({ holdsDuties: true, sinceStartMs: 60_000 });
 * ```
 * @param input - What the pause follows from.
 */
export function getJoinPause(input: JoinPauseInput): number {
  const { holdsDuties, sinceStartMs } = input;
  return holdsDuties || sinceStartMs < STARTING_MS
    ? HOLDER_JOIN_EVERY_MS
    : JOIN_EVERY_MS;
}
