/**
 * Follows the shards that the group of hosts assigns to this host.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type {
  GroupMembership,
  SharedLog,
} from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  getJoinInterval,
  shouldJoinShardGroup,
} from "@briarhill/control/membership/shard_group_policy";
import { OPEN_LOT_TOPIC } from "@briarhill/platform/names/topics";
import { OpenLots } from "@briarhill/rollout/ledger/open_lots";
import { FollowedPartition } from "../log/followed_partition.ts";

/** Id of the group of hosts that run lots. */
export const LOT_GROUP = "lot-owners";
/** How long an unreachable host retains its shards, in milliseconds; the lots of a failed owner wait this long. */
const GROUP_TTL_MS = 1_200;
/** How long a small host waits for larger ones to join first, in milliseconds. */
const SMALL_HOST_JOIN_DELAY_MS = 2_000;
/** How long a host continues its lots while it can't reach the group, in milliseconds. */
const OWNERSHIP_TIMEOUT_MS = 8_000;
/** How long after its last join a host confirms to others that it runs its lots, in milliseconds. */
const CURRENT_MAX_AGE_MS = 1_500;

/** Options of a `ShardGroup`. */
export interface ShardGroupOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Id of this process as a member of the group. */
  readonly member: string;
  /** Minimum time that an unreachable member retains its shards, in milliseconds. */
  readonly ttlMinMs: number;
  /** Processor time available to this host, in cores. */
  readonly cores: number;
}

/** A shard of the open lots that this host follows. */
export type FollowedShard = FollowedPartition<OpenLots>;

/** Follows the shards that the group assigns to this host. */
export class ShardGroup {
  readonly #options: ShardGroupOptions;
  readonly #stopping = new AbortController();
  readonly #owned = new Map<number, FollowedShard>();
  /** Shards that were assigned to other hosts while this host still runs some of their lots. */
  readonly #lostShards = new Map<number, FollowedShard>();
  #onChange: () => void = () => undefined;
  #generation = 0;
  #hasJoined = false;
  #joinedAtMs = -Infinity;
  #isSuspended = false;

  constructor(options: ShardGroupOptions) {
    this.#options = options;
  }

  /** Returns the shards that this host owns; none if it has not reached the group within the ownership timeout. */
  listShards(): readonly FollowedShard[] {
    return this.#sinceJoinMs < OWNERSHIP_TIMEOUT_MS
      ? [...this.#owned.values()]
      : [];
  }

  /** Returns the shards that were assigned to other hosts and have not been dropped; none after the ownership timeout. */
  listLostShards(): readonly FollowedShard[] {
    return this.#sinceJoinMs < OWNERSHIP_TIMEOUT_MS
      ? [...this.#lostShards.values()]
      : [];
  }

  /** Whether the last successful join is recent enough to confirm ownership to other hosts. */
  get isCurrent(): boolean {
    return this.#sinceJoinMs < CURRENT_MAX_AGE_MS;
  }

  /**
   * Returns whether the group last assigned a shard to this host, however long ago.
   *
   * @param shard - The number of the shard.
   */
  hasShard(shard: number): boolean {
    return this.#owned.has(shard);
  }

  get #sinceJoinMs(): number {
    return this.#options.clock.getMonotonicMs() - this.#joinedAtMs;
  }

  /**
   * Stops following a shard that another host owns, when none of its lots runs here.
   *
   * @param shard - The shard.
   */
  dropShard(shard: FollowedShard): void {
    shard.stop();
    this.#lostShards.delete(shard.number);
  }

  /**
   * Joins the group and stays in it.
   *
   * @param onChange - Called when the shards or their lots have changed.
   */
  start(onChange: () => void): void {
    this.#onChange = onChange;
    void this.#run();
  }

  /** Leaves the group until the next call of {@link resume}, so that the shards are assigned to other hosts at once. */
  async suspend(): Promise<void> {
    this.#isSuspended = true;
    this.#setOwned([]);
    await this.#leave();
  }

  /** Joins the group again after {@link suspend}. */
  resume(): void {
    this.#isSuspended = false;
  }

  /** Leaves the group, so that the shards are assigned to other hosts at once. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    [...this.#owned.values(), ...this.#lostShards.values()].forEach((shard) =>
      shard.stop()
    );
    this.#owned.clear();
    this.#lostShards.clear();
    await this.#leave();
  }

  async #leave(): Promise<void> {
    try {
      await this.#options.log.leaveGroup(this.#createMembership());
    } catch (error) {
      // Without the call, the group removes this member when its TTL expires.
      this.#options.logger.error("group-leave-failed", error);
    }
  }

  async #run(): Promise<void> {
    const { clock, logger } = this.#options;
    const { signal } = this.#stopping;
    const startedAtMs = clock.getMonotonicMs();
    while (!signal.aborted) {
      try {
        if (!this.#isSuspended && await this.#shouldJoin()) {
          await this.#join();
        }
      } catch (error) {
        if (!(error instanceof PortError)) {
          throw error;
        }
        logger.error("group-join-failed", error);
      }
      const pauseMs = getJoinInterval({
        ownsShards: this.#owned.size > 0,
        uptimeMs: clock.getMonotonicMs() - startedAtMs,
      });
      await clock.sleep(pauseMs, signal);
    }
  }

  /** Returns whether to join. Only a small host that is not a member has to list the group's members first. */
  async #shouldJoin(): Promise<boolean> {
    const { log, cores } = this.#options;
    const localHost = { cores, isMember: this.#hasJoined };
    if (shouldJoinShardGroup({ ...localHost, members: Infinity })) {
      return true;
    }
    await this.#options.clock.sleep(SMALL_HOST_JOIN_DELAY_MS);
    const holders = await log.listHolders(LOT_GROUP);
    const members = new Set(holders.map(({ member }) => member)).size;
    return shouldJoinShardGroup({ ...localHost, members });
  }

  async #join(): Promise<void> {
    const { clock, log } = this.#options;
    const sentAtMs = clock.getMonotonicMs();
    const assignment = await log.joinGroup(this.#createMembership());
    if (this.#isSuspended) {
      // The join has overtaken the call by which this host leaves.
      await this.#leave();
      return;
    }
    this.#joinedAtMs = sentAtMs;
    this.#generation = assignment.generation;
    this.#setOwned(assignment.partitions.map(({ partition }) => partition));
  }

  #createMembership(): GroupMembership {
    const { member, ttlMinMs } = this.#options;
    return {
      group: LOT_GROUP,
      member,
      topics: [OPEN_LOT_TOPIC],
      ttlMs: Math.max(ttlMinMs, GROUP_TTL_MS),
      generation: this.#generation,
    };
  }

  #setOwned(numbers: readonly number[]): void {
    if (this.#stopping.signal.aborted) {
      return;
    }
    const lost = [...this.#owned.keys()].filter((number) =>
      !numbers.includes(number)
    );
    const gained = numbers.filter((number) => !this.#owned.has(number));
    this.#hasJoined = true;
    for (const number of lost) {
      const shard = this.#owned.get(number);
      this.#owned.delete(number);
      if (shard !== undefined) {
        this.#lostShards.set(number, shard);
      }
    }
    for (const number of gained) {
      this.#owned.set(
        number,
        this.#lostShards.get(number) ?? this.#followShard(number),
      );
      this.#lostShards.delete(number);
    }
    if (lost.length + gained.length > 0) {
      this.#options.logger.info("partitions-assigned", {
        generation: this.#generation,
        owned: numbers.join(","),
        lost: lost.join(","),
      });
      this.#onChange();
    }
  }

  #followShard(number: number): FollowedShard {
    return new FollowedPartition(
      { topic: OPEN_LOT_TOPIC, partition: number },
      new OpenLots(),
      { ...this.#options, onChange: () => this.#onChange() },
    );
  }
}
