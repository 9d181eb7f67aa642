/**
 * What the holder of the lease knows of the demand of all hosts and of the numbers
 * of servers that were ordered.
 * @module
 */
import type { LogRecord } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import { ServerOrderBook } from "@briarhill/control/scaling/server_order_book";
import { applyRecords } from "../log/apply_records.ts";
import { decodeScalingRecord, type HostDemand } from "./scaling_codec.ts";

/** Time for which the demand of a host counts, in milliseconds; hosts tell it each second, and a lost host's lots run elsewhere by then. */
const DEMAND_RETENTION_MS = 4_000;

interface KnownDemand extends HostDemand {
  readonly atMs: number;
}

/** The demand of all hosts and the ordered numbers. */
export class DemandView {
  readonly orders = new ServerOrderBook();
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #hosts = new Map<string, KnownDemand>();

  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /**
   * Applies records of the scaling topic.
   *
   * @param records - The records.
   */
  applyRecords(records: readonly LogRecord[]): void {
    const nowMs = this.#clock.getMonotonicMs();
    applyRecords(records, {
      apply: ({ value }) => {
        const record = decodeScalingRecord(value);
        if (record.kind === "demand") {
          const { demand } = record;
          this.#hosts.set(demand.host, { ...demand, atMs: nowMs });
        } else {
          this.orders.setOrdered(record.ordered, record.ordered.count, nowMs);
        }
      },
      logger: this.#logger,
    });
  }

  /**
   * Returns the number of unfinished samples of some models.
   *
   * @param models - The models.
   */
  countSamples(models: readonly string[]): number {
    const nowMs = this.#clock.getMonotonicMs();
    let count = 0;
    for (const { samples, atMs } of this.#hosts.values()) {
      if (nowMs - atMs < DEMAND_RETENTION_MS) {
        models.forEach((model) => count += samples.get(model) ?? 0);
      }
    }
    return count;
  }
}
