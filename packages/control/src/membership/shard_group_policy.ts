/**
 * Policy by which hosts join the group that assigns shards to its members.
 *
 * Load pattern: in a fleet whose small hosts have a quarter of the processor
 * time of the large ones, the streams of one training step saturate a small
 * host and delay all of its samples. Small hosts therefore stay out of the
 * group while it has enough members.
 * @module
 */

/** The processor time from which a host joins unconditionally, in cores. */
const MIN_LARGE_HOST_CORES = 0.5;
/** While the group has fewer members than this, small hosts join too. */
const MIN_GROUP_MEMBERS = 3;

/** The interval between joins of a shard owner, in milliseconds; the number of owners is bounded by the number of shards. */
const OWNER_JOIN_INTERVAL_MS = 250;
/** The interval between joins of a host without shards, in milliseconds; longer, as the number of such hosts grows with the fleet. */
const JOIN_INTERVAL_MS = 600;
/** The time after its start during which a host joins at the interval of an owner, in milliseconds: when all hosts start at once, shards are reassigned for some seconds. */
const STARTUP_PERIOD_MS = 5_000;

/** Input of `shouldJoinShardGroup`. */
export interface ShardGroupJoinInput {
  /** The processor time of this host, in cores. */
  readonly cores: number;
  readonly isMember: boolean;
  /** The number of group members that the log reports, including this host. */
  readonly members: number;
}

/**
 * Returns whether a host should be a member of the group. A small host that has
 * joined remains a member, so that its shards are not reassigned needlessly.
 *
 * @example
 * ```ts
 * const joins = shouldJoinShardGroup({ cores: 0.32, isMember: false, members: 12 });
 * ```
 * @param input - The host and the group as it observes it.
 */
export function shouldJoinShardGroup(input: ShardGroupJoinInput): boolean {
  const { cores, isMember, members } = input;
  return isMember || cores >= MIN_LARGE_HOST_CORES ||
    members < MIN_GROUP_MEMBERS;
}

/** Input of `getJoinInterval`. */
export interface JoinIntervalInput {
  /** Whether this host owns a shard. */
  readonly ownsShards: boolean;
  /** The time since this host was started, in milliseconds. */
  readonly uptimeMs: number;
}

/**
 * Returns the interval between two joins of a host, in milliseconds. Shards are
 * reassigned on joins, so shard owners and hosts that have just started join
 * more frequently.
 *
 * @example
 * ```ts
 * const pauseMs = getJoinInterval({ ownsShards: true, uptimeMs: 60_000 });
 * ```
 * @param input - Whether the host owns shards, and its uptime.
 */
export function getJoinInterval(input: JoinIntervalInput): number {
  const { ownsShards, uptimeMs } = input;
  return ownsShards || uptimeMs < STARTUP_PERIOD_MS
    ? OWNER_JOIN_INTERVAL_MS
    : JOIN_INTERVAL_MS;
}
