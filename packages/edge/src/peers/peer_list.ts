/**
 * Lists the known other hosts: the owners of lot shards and the seeds of the
 * settings. The list must never contain this host.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { HttpAddress } from "@briarhill/common/http/http_exchange";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import { LOT_GROUP } from "../lots/shard_group.ts";
import type { HostSettings } from "../settings/host_settings.ts";

/** The average interval between refreshes, in milliseconds. */
const REFRESH_INTERVAL_MS = 5_000;
/** The maximum random delay of the first refresh, in milliseconds; hosts join their group in the meantime. */
const MAX_FIRST_REFRESH_DELAY_MS = 2_000;
/** The time during which an unresponsive host is not called, in milliseconds; the group removes a dead host within 2 s. */
const SUSPICION_MS = 3_000;

/** Options of {@link PeerList}. */
export interface PeerListOptions {
  readonly settings: HostSettings;
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: SeededRandom;
}

/** Lists the other hosts and the owners of the lot shards. */
export class PeerList {
  readonly #options: PeerListOptions;
  #shardOwners: ReadonlyMap<number, string> = new Map();
  readonly #suspectUntilMs = new Map<string, number>();
  #earlyRefresh = new AbortController();
  readonly #stopping = new AbortController();
  #nextPeerIndex = 0;

  constructor(options: PeerListOptions) {
    this.#options = options;
  }

  /** Returns the other hosts' addresses in rotation: each call starts at the next host. */
  listPeers(): readonly HttpAddress[] {
    const { ip, peers, seeds } = this.#options.settings;
    const hosts = new Set([...this.#shardOwners.values(), ...seeds]);
    const others = [...hosts].filter((host) => host !== ip);
    const startIndex = this.#nextPeerIndex++ % Math.max(1, others.length);
    return [...others.slice(startIndex), ...others.slice(0, startIndex)]
      .map((hostname) => ({ hostname, port: peers.port }));
  }

  /**
   * Returns the owner of a lot shard, or undefined if the owner is unknown, under
   * suspicion, or this host.
   *
   * @param shard - The number of the shard.
   */
  getShardOwner(shard: number): HttpAddress | undefined {
    const { clock, settings } = this.#options;
    const hostname = this.#shardOwners.get(shard);
    const isSuspect = hostname !== undefined &&
      clock.getMonotonicMs() < (this.#suspectUntilMs.get(hostname) ?? 0);
    return hostname === undefined || hostname === settings.ip || isSuspect
      ? undefined
      : { hostname, port: settings.peers.port };
  }

  /**
   * Records that a host didn't answer: puts it under suspicion and refreshes the list at once.
   *
   * @param peer - The address of the host.
   */
  addFailure({ hostname }: HttpAddress): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#suspectUntilMs.set(hostname, nowMs + SUSPICION_MS);
    this.#earlyRefresh.abort();
  }

  /** Refreshes the list at once, because it turned out to be outdated. */
  updateNow(): void {
    this.#earlyRefresh.abort();
  }

  /** Starts to refresh the list. */
  start(): void {
    void this.#run();
  }

  /** Stops refreshing the list. */
  stop(): void {
    this.#stopping.abort();
    this.#earlyRefresh.abort();
  }

  async #run(): Promise<void> {
    const { clock, log, logger, random } = this.#options;
    const { signal } = this.#stopping;
    let delayMs = MAX_FIRST_REFRESH_DELAY_MS * random.getFloat();
    while (!signal.aborted) {
      await clock.sleep(delayMs, this.#earlyRefresh.signal);
      this.#earlyRefresh = new AbortController();
      delayMs = REFRESH_INTERVAL_MS * (0.5 + random.getFloat());
      try {
        const owners = await log.listHolders(LOT_GROUP);
        this.#shardOwners = new Map(
          owners.map(({ partition, member }) => [partition.partition, member]),
        );
      } catch (error) {
        if (!(error instanceof BriarhillError)) {
          throw error;
        }
        logger.error("peer-list-refresh-failed", error);
      }
    }
  }
}
