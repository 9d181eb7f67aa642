/**
 * Appends what this host has counted to the shared log, once for each window
 * unless requests that began in it end later.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Clock } from "@briarhill/common/time/clock";
import { USAGE_TOPIC } from "@briarhill/platform/names/topics";
import { encodeCount } from "./usage_codec.ts";
import type { UsageMeter } from "./usage_meter.ts";

/** The partition of the counts. */
export const USAGE_PARTITION = { topic: USAGE_TOPIC, partition: 0 } as const;
/** Interval between checks for counts, in milliseconds. */
const CHECK_INTERVAL_MS = 400;
/** The maximum random part of the interval, in milliseconds; it spreads the appends of the hosts. */
const CHECK_SPREAD_MS = 400;

/** Options of {@link UsagePublisher}. */
export interface UsagePublisherOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: SeededRandom;
  readonly usage: UsageMeter;
  /** Time after the end of a window at which its counts are appended, in milliseconds. */
  readonly tellDelayMs: number;
}

/** Appends what this host has counted. */
export class UsagePublisher {
  readonly #options: UsagePublisherOptions;
  readonly #stopping = new AbortController();

  constructor(options: UsagePublisherOptions) {
    this.#options = options;
  }

  /** Starts to append counts. */
  start(): void {
    void this.#run();
  }

  /** Appends all counts, also those of the current window, and stops. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#publish(-Infinity);
  }

  async #run(): Promise<void> {
    const { clock, random, tellDelayMs } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await this.#publish(tellDelayMs);
      const pauseMs = CHECK_INTERVAL_MS + CHECK_SPREAD_MS * random.getFloat();
      await clock.sleep(pauseMs, signal);
    }
  }

  async #publish(delayMs: number): Promise<void> {
    const { log, logger, usage } = this.#options;
    const counts = usage.takeChanged(delayMs);
    if (counts.length === 0) {
      return;
    }
    try {
      await log.append(
        USAGE_PARTITION,
        counts.map((count) => ({ value: encodeCount(count) })),
      );
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      // An append whose outcome is unknown is repeated, too: the record replaces itself.
      usage.setChanged(counts);
      logger.error("usage-append-failed", error, { windows: counts.length });
    }
  }
}
