/**
 * The other hosts, as far as they are known: those that run lots, and the
 * seeds of the settings.
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

/** How often the list is read, in milliseconds. */
const REFRESH_EVERY_MS = 5_000;
/** How soon it is read after the start, at most, in milliseconds: hosts join their group meanwhile. */
const FIRST_REFRESH_MS = 2_000;
/** How long a host that didn't answer is not asked, in milliseconds; the group drops a dead one within 2 s. */
const SUSPECT_MS = 3_000;

/** What a list of hosts needs. */
export interface PeerListOptions {
  readonly settings: HostSettings;
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: SeededRandom;
}

/** The other hosts. */
export class PeerList {
  readonly #options: PeerListOptions;
  #holders: ReadonlyMap<number, string> = new Map();
  readonly #suspectUntilMs = new Map<string, number>();
  #refresh = new AbortController();
  readonly #stopping = new AbortController();
  #turn = 0;

  constructor(options: PeerListOptions) {
    this.#options = options;
  }

  /** Returns the other hosts' addresses, from another one at each call. */
  listPeers(): readonly HttpAddress[] {
    const { ip, peers, seeds } = this.#options.settings;
    const hosts = new Set([...this.#holders.values(), ...seeds]);
    const others = [...hosts].filter((host) => host !== ip);
    const first = this.#turn++ % Math.max(1, others.length);
    return [...others.slice(first), ...others.slice(0, first)]
      .map((hostname) => ({ hostname, port: peers.port }));
  }

  /**
   * Returns the host that holds a shard of the lots, or undefined where none
   * is known to live, or it is this one.
   *
   * @param shard - The shard's number.
   */
  getHolder(shard: number): HttpAddress | undefined {
    const { clock, settings } = this.#options;
    const hostname = this.#holders.get(shard);
    const isSuspect = hostname !== undefined &&
      clock.getMonotonicMs() < (this.#suspectUntilMs.get(hostname) ?? 0);
    return hostname === undefined || hostname === settings.ip || isSuspect
      ? undefined
      : { hostname, port: settings.peers.port };
  }

  /**
   * Records that a host didn't answer: it isn't asked for a while, and the list is read anew.
   *
   * @param peer - The host.
   */
  addFailure({ hostname }: HttpAddress): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#suspectUntilMs.set(hostname, nowMs + SUSPECT_MS);
    this.#refresh.abort();
  }

  /** Begins to read the list. */
  start(): void {
    void this.#run();
  }

  /** Reads the list no more. */
  stop(): void {
    this.#stopping.abort();
    this.#refresh.abort();
  }

  async #run(): Promise<void> {
    const { clock, log, logger, random } = this.#options;
    const { signal } = this.#stopping;
    let pauseMs = FIRST_REFRESH_MS * random.getUnit();
    while (!signal.aborted) {
      await clock.sleep(pauseMs, this.#refresh.signal);
      this.#refresh = new AbortController();
      pauseMs = REFRESH_EVERY_MS * (0.5 + random.getUnit());
      try {
        const holders = await log.listHolders(LOT_GROUP);
        this.#holders = new Map(
          holders.map(({ partition, member }) => [partition.partition, member]),
        );
      } catch (error) {
        if (!(error instanceof BriarhillError)) {
          throw error;
        }
        logger.error("host-list-unreadable", error);
      }
    }
  }
}
