/**
 * Holds, renews and watches the lease of orders through the shared log.
 * @module
 */
import { InputError, PortError } from "@briarhill/common/errors/errors";
import type { LogRecord, SharedLog } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  type ClockPair,
  type LeaseAppend,
  type LeaseRecord,
  OrderLease,
} from "@briarhill/control/orders/order_lease";
import { LEASE_TOPIC } from "@briarhill/platform/names/topics";
import { Buffer } from "node:buffer";
import { LogFollower } from "../log/log_follower.ts";

const PLACE = { topic: LEASE_TOPIC, partition: 0 } as const;
/** How often the lease is looked at, in milliseconds. */
const CHECK_EVERY_MS = 100;
/** The same while another host holds it. */
const IDLE_EVERY_MS = 250;
/** The longest wait of one read, in milliseconds; below the silence after which a lease is claimed. */
const READ_WAIT_MS = 700;
/** How fresh a read has to be for a claim or a renewal, in milliseconds. */
const CURRENT_MS = 900;

/** What a keeper of the lease needs. */
export interface LeaseKeeperOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly host: string;
  /** Differs for each start of the host. */
  readonly process: string;
  readonly turnMs: number;
  readonly claimDelayMs: number;
}

/** Holds, renews and watches the lease. */
export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;
  readonly #lease: OrderLease;
  readonly #follower: LogFollower;
  readonly #stopping = new AbortController();
  #wasHolder = false;

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
    this.#lease = new OrderLease(options);
    this.#follower = new LogFollower({
      log: options.log,
      clock: options.clock,
      logger: options.logger,
      place: PLACE,
      fromNewest: false,
      waitMs: READ_WAIT_MS,
      pauseMs: 0,
      onSnapshot: () => undefined,
      onRecords: (records) => this.#applyRecords(records),
    });
  }

  /** The holder's number, which grows from holder to holder. */
  get token(): number {
    return this.#lease.token;
  }

  /** Whether this host holds the lease, as far as it has read. */
  get isHolder(): boolean {
    return this.#lease.isHolder;
  }

  /** Tells whether this host may give orders now. */
  canOrder(): boolean {
    return !this.#stopping.signal.aborted &&
      this.#lease.canOrder(this.#getNow());
  }

  /** Begins to watch the lease. */
  start(): void {
    this.#follower.start();
    void this.#run();
  }

  /** Gives the lease up, so that another host may claim it at once. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    const release = this.#lease.decideRelease(this.#getNow());
    if (release !== undefined) {
      await this.#append(release);
    }
    this.#follower.stop();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const now = this.#getNow();
      const isCurrent =
        now.monotonicMs - this.#follower.currentAtMs < CURRENT_MS;
      this.#lease.setEndOffset(this.#follower.endOffset);
      const append = this.#lease.decideAppend(now, isCurrent);
      if (append !== undefined) {
        await this.#append(append);
      }
      const pauseMs = this.isHolder ? CHECK_EVERY_MS : IDLE_EVERY_MS;
      await clock.sleep(pauseMs, signal);
    }
  }

  async #append({ record, atOffset }: LeaseAppend): Promise<void> {
    const { log, logger } = this.#options;
    try {
      const value = Buffer.from(JSON.stringify(record));
      await log.append(PLACE, [{ value }], atOffset);
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      // What became of it shows in the partition.
      logger.error("lease-append-failed", error, { kind: record.kind });
    }
  }

  #applyRecords(records: readonly LogRecord[]): void {
    const now = this.#getNow();
    for (const { value, offset } of records) {
      this.#lease.applyRecord(parseLeaseRecord(value), offset, now);
    }
    const { isHolder } = this.#lease;
    if (isHolder !== this.#wasHolder) {
      const { logger } = this.#options;
      const { token } = this.#lease;
      isHolder
        ? logger.info("lease-gained", { token })
        : logger.info("lease-lost", { token });
      this.#wasHolder = isHolder;
    }
  }

  #getNow(): ClockPair {
    const { clock } = this.#options;
    return {
      monotonicMs: clock.getMonotonicMs(),
      wallMs: clock.getWallMs(),
    };
  }
}

function parseLeaseRecord(value: Buffer): LeaseRecord {
  const record: unknown = JSON.parse(value.toString());
  if (typeof record !== "object" || record === null) {
    throw new InputError("a record of the lease is no object");
  }
  return record as LeaseRecord;
}
