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

/** How often the list is read, in milliseconds; it is needed only while the store turns this host away. */
const REFRESH_EVERY_MS = 5_000;

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
  #hosts: ReadonlySet<string>;
  readonly #stopping = new AbortController();
  #turn = 0;

  constructor(options: PeerListOptions) {
    this.#options = options;
    this.#hosts = new Set(options.settings.seeds);
  }

  /** Returns the other hosts' addresses, from another one at each call. */
  listPeers(): readonly HttpAddress[] {
    const { ip, peers } = this.#options.settings;
    const others = [...this.#hosts].filter((host) => host !== ip);
    const first = this.#turn++ % Math.max(1, others.length);
    return [...others.slice(first), ...others.slice(0, first)]
      .map((hostname) => ({ hostname, port: peers.port }));
  }

  /** Begins to read the list. */
  start(): void {
    void this.#run();
  }

  /** Reads the list no more. */
  stop(): void {
    this.#stopping.abort();
  }

  async #run(): Promise<void> {
    const { clock, log, logger, settings, random } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const pauseMs = REFRESH_EVERY_MS * (0.5 + random.getUnit());
      await clock.sleep(pauseMs, signal);
      try {
        const members = await log.listMembers(LOT_GROUP);
        this.#hosts = new Set([...members, ...settings.seeds]);
      } catch (error) {
        if (!(error instanceof BriarhillError)) {
          throw error;
        }
        logger.error("host-list-unreadable", error);
      }
    }
  }
}
