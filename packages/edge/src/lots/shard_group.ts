/**
 * This host's part of the shards, as the group of hosts assigns them.
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
  getJoinPause,
  shouldTakeDuties,
} from "@briarhill/control/membership/duty_share";
import { LOT_WORK_TOPIC } from "@briarhill/platform/names/topics";
import { OpenLots } from "@briarhill/rollout/ledger/open_lots";
import { FollowedPartition } from "../log/followed_partition.ts";

/** The group of the hosts that run lots. */
export const LOT_GROUP = "lot-owners";
/** How long a silent host keeps its shards, in milliseconds: a dead owner's lots wait this long. */
const GROUP_TTL_MS = 1_200;
/** How long a small host leaves larger ones the time to join, in milliseconds. */
const SMALL_HOST_DELAY_MS = 2_000;
/** How long a host runs its lots on while it can't reach the group, in milliseconds. */
const OWN_UNTIL_MS = 8_000;
/** How long after its last join a host says of its lots that it runs them, in milliseconds. */
const CURRENT_MS = 1_500;

/** What a group needs. */
export interface ShardGroupOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  /** This process in the group. */
  readonly member: string;
  /** The shortest time that a silent member may keep its shards, in milliseconds. */
  readonly ttlMinMs: number;
  /** The processor time of this host, in cores. */
  readonly cores: number;
}

/** A shard of the open lots that this host follows. */
export type FollowedShard = FollowedPartition<OpenLots>;

/** This host's part of the shards. */
export class ShardGroup {
  readonly #options: ShardGroupOptions;
  readonly #stopping = new AbortController();
  readonly #owned = new Map<number, FollowedShard>();
  /** Shards that this host owned before and some of whose lots it still runs. */
  readonly #left = new Map<number, FollowedShard>();
  #onChange: () => void = () => undefined;
  #generation = 0;
  #hasJoined = false;
  #joinedAtMs = -Infinity;

  constructor(options: ShardGroupOptions) {
    this.#options = options;
  }

  /** Returns the shards that this host owns; none when it can't reach the group for long. */
  listShards(): readonly FollowedShard[] {
    return this.#sinceJoinMs < OWN_UNTIL_MS ? [...this.#owned.values()] : [];
  }

  /** Returns the shards that other hosts own by now and that were not let go of. */
  listLeft(): readonly FollowedShard[] {
    return this.#sinceJoinMs < OWN_UNTIL_MS ? [...this.#left.values()] : [];
  }

  /** Whether this host has reached the group just now. */
  get isCurrent(): boolean {
    return this.#sinceJoinMs < CURRENT_MS;
  }

  get #sinceJoinMs(): number {
    return this.#options.clock.getMonotonicMs() - this.#joinedAtMs;
  }

  /**
   * Lets go of a shard that another host owns, as none of its lots runs here.
   *
   * @param shard - The shard.
   */
  dropShard(shard: FollowedShard): void {
    shard.stop();
    this.#left.delete(shard.number);
  }

  /**
   * Joins the group and stays in it.
   *
   * @param onChange - Is called when shards or their lots have changed.
   */
  start(onChange: () => void): void {
    this.#onChange = onChange;
    void this.#run();
  }

  /** Leaves the group, so that others get the shards at once. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    [...this.#owned.values(), ...this.#left.values()].forEach((shard) =>
      shard.stop()
    );
    this.#owned.clear();
    this.#left.clear();
    try {
      await this.#options.log.leaveGroup(this.#createMembership());
    } catch (error) {
      // The group notices after a while by itself.
      this.#options.logger.error("group-leave-failed", error);
    }
  }

  async #run(): Promise<void> {
    const { clock, logger } = this.#options;
    const { signal } = this.#stopping;
    const startedAtMs = clock.getMonotonicMs();
    while (!signal.aborted) {
      try {
        if (await this.#shouldJoin()) {
          await this.#join();
        }
      } catch (error) {
        if (!(error instanceof PortError)) {
          throw error;
        }
        logger.error("group-join-failed", error);
      }
      const pauseMs = getJoinPause({
        holdsDuties: this.#owned.size > 0,
        sinceStartMs: clock.getMonotonicMs() - startedAtMs,
      });
      await clock.sleep(pauseMs, signal);
    }
  }

  /** Only a small host has to ask who else is a member. */
  async #shouldJoin(): Promise<boolean> {
    const { log, cores } = this.#options;
    const own = { cores, isMember: this.#hasJoined };
    if (shouldTakeDuties({ ...own, members: Infinity })) {
      return true;
    }
    await this.#options.clock.sleep(SMALL_HOST_DELAY_MS);
    const holders = await log.listHolders(LOT_GROUP);
    const members = new Set(holders.map(({ member }) => member)).size;
    return shouldTakeDuties({ ...own, members });
  }

  async #join(): Promise<void> {
    const { clock, log } = this.#options;
    const sentAtMs = clock.getMonotonicMs();
    const assignment = await log.joinGroup(this.#createMembership());
    this.#joinedAtMs = sentAtMs;
    this.#generation = assignment.generation;
    this.#setOwned(assignment.partitions.map(({ partition }) => partition));
  }

  #createMembership(): GroupMembership {
    const { member, ttlMinMs } = this.#options;
    return {
      group: LOT_GROUP,
      member,
      topics: [LOT_WORK_TOPIC],
      ttlMs: Math.max(ttlMinMs, GROUP_TTL_MS),
      generation: this.#generation,
    };
  }

  #setOwned(numbers: readonly number[]): void {
    if (this.#stopping.signal.aborted) {
      return;
    }
    const lost = [...this.#owned.keys()].filter((one) =>
      !numbers.includes(one)
    );
    const gained = numbers.filter((one) => !this.#owned.has(one));
    this.#hasJoined = true;
    for (const one of lost) {
      const shard = this.#owned.get(one);
      this.#owned.delete(one);
      if (shard !== undefined) {
        this.#left.set(one, shard);
      }
    }
    for (const one of gained) {
      this.#owned.set(one, this.#left.get(one) ?? this.#followShard(one));
      this.#left.delete(one);
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
      { topic: LOT_WORK_TOPIC, partition: number },
      new OpenLots(),
      { ...this.#options, onChange: () => this.#onChange() },
    );
  }
}
