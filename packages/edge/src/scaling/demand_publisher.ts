/**
 * Tells the holder of the lease how many samples this host has still to finish.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { SCALING_TOPIC } from "@briarhill/platform/names/topics";
import type { LedgerLot } from "@briarhill/rollout/ledger/ledger_lot";
import { encodeDemand } from "./scaling_codec.ts";

/** The partition of demand and ordered numbers. */
export const SCALING_PARTITION = {
  topic: SCALING_TOPIC,
  partition: 0,
} as const;
/** Interval between two records of a host with demand, in milliseconds; a fraction of the time in which servers start. */
const PUBLISH_INTERVAL_MS = 1_000;

/** Options of {@link DemandPublisher}. */
export interface DemandPublisherOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The address of this host. */
  readonly host: string;
  /** Whether the holder of the lease needs to know the demand. */
  readonly isNeeded: boolean;
}

/** Tells how many samples this host has still to finish. */
export class DemandPublisher {
  readonly #options: DemandPublisherOptions;
  readonly #stopping = new AbortController();
  readonly #lots = new Map<string, LedgerLot>();
  #hadDemand = false;

  constructor(options: DemandPublisherOptions) {
    this.#options = options;
  }

  /**
   * Adds a lot that this host begins to run.
   *
   * @param lot - The lot.
   */
  addLot(lot: LedgerLot): void {
    if (this.#options.isNeeded) {
      this.#lots.set(lot.id, lot);
    }
  }

  /**
   * Starts to publish the demand.
   *
   * @param isRunning - Returns whether this host still runs a lot.
   */
  start(isRunning: (lot: string) => boolean): void {
    if (this.#options.isNeeded) {
      void this.#run(isRunning);
    }
  }

  /** Stops publishing. */
  stop(): void {
    this.#stopping.abort();
  }

  async #run(isRunning: (lot: string) => boolean): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const samples = this.#countSamples(isRunning);
      if (samples.size > 0 || this.#hadDemand) {
        await this.#publish(samples);
      }
      await this.#options.clock.sleep(PUBLISH_INTERVAL_MS, signal);
    }
  }

  #countSamples(
    isRunning: (lot: string) => boolean,
  ): ReadonlyMap<string, number> {
    const samples = new Map<string, number>();
    for (const [id, lot] of this.#lots) {
      if (!lot.isOpen || !isRunning(id)) {
        this.#lots.delete(id);
        continue;
      }
      const { model } = lot.request;
      const unfinished = lot.request.samples.length - lot.results.length;
      samples.set(model, (samples.get(model) ?? 0) + unfinished);
    }
    return samples;
  }

  async #publish(samples: ReadonlyMap<string, number>): Promise<void> {
    const { log, logger, host } = this.#options;
    const value = encodeDemand({ host, samples });
    try {
      await log.append(SCALING_PARTITION, [{ key: `demand/${host}`, value }]);
      this.#hadDemand = samples.size > 0;
    } catch (error) {
      if (!(error instanceof BriarhillError)) {
        throw error;
      }
      logger.error("demand-append-failed", error);
    }
  }
}
