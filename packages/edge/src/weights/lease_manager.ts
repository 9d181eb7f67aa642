/**
 * Claims, renews and releases the lease for sending orders, using the shared log.
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
import { FieldReader } from "@briarhill/platform/records/field_reader";
import { LEASE_TOPIC } from "@briarhill/platform/names/topics";
import { Buffer } from "node:buffer";
import { applyRecords } from "../log/apply_records.ts";
import { LogFollower } from "../log/log_follower.ts";

const LEASE_PARTITION = { topic: LEASE_TOPIC, partition: 0 } as const;
/** Interval between checks of the lease on its holder, in milliseconds. */
const HOLDER_INTERVAL_MS = 100;
/** Interval between checks while another host holds the lease, in milliseconds. */
const IDLE_INTERVAL_MS = 250;
/** Maximum wait of one read, in milliseconds; shorter than the time without a renewal after which a lease is claimed. */
const READ_WAIT_MS = 700;
/** Maximum age of the last read for a claim or a renewal, in milliseconds. */
const MAX_READ_AGE_MS = 900;

const KINDS = ["claim", "renewal", "release"] as const;

/** Options of a `LeaseManager`. */
export interface LeaseManagerOptions {
  readonly log: SharedLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly host: string;
  /** Id of this process; different after each start of the host. */
  readonly process: string;
  readonly minHandoverMs: number;
  readonly claimDelayMs: number;
  /** Returns whether this host may hold the lease, as it reaches the endpoints as well as any other host does. */
  readonly canHoldJobs: () => boolean;
}

/** Claims, renews and releases the lease. */
export class LeaseManager {
  readonly #options: LeaseManagerOptions;
  readonly #lease: OrderLease;
  readonly #follower: LogFollower;
  readonly #stopping = new AbortController();
  #wasHolder = false;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#lease = new OrderLease(options);
    this.#follower = new LogFollower({
      log: options.log,
      clock: options.clock,
      logger: options.logger,
      place: LEASE_PARTITION,
      fromNewest: false,
      waitMs: READ_WAIT_MS,
      pauseMs: 0,
      onSnapshot: () => undefined,
      onRecords: (records) => this.#applyRecords(records),
    });
  }

  /** Fencing number of the lease; it increases with each new holder. */
  get token(): number {
    return this.#lease.fencingNumber;
  }

  /** Whether this host holds the lease, according to the records it has read. */
  get isHolder(): boolean {
    return this.#lease.isHolder;
  }

  /** Returns whether this host may send orders now. */
  canOrder(): boolean {
    return !this.#stopping.signal.aborted &&
      this.#lease.canOrder(this.#getNow());
  }

  /** Starts to follow the lease and to claim or renew it. */
  start(): void {
    this.#follower.start();
    void this.#run();
  }

  /** Releases the lease, so that another host can claim it at once. */
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
        now.monotonicMs - this.#follower.caughtUpAtMs < MAX_READ_AGE_MS;
      this.#lease.setEndOffset(this.#follower.endOffset);
      const append = this.#options.canHoldJobs()
        ? this.#lease.decideAppend(now, isCurrent)
        : this.#lease.decideRelease(now);
      if (append !== undefined) {
        await this.#append(append);
      }
      const pauseMs = this.isHolder ? HOLDER_INTERVAL_MS : IDLE_INTERVAL_MS;
      await clock.sleep(pauseMs, signal);
    }
  }

  async #append({ record, atOffset }: LeaseAppend): Promise<void> {
    const { log, logger } = this.#options;
    try {
      const value = Buffer.from(JSON.stringify(record));
      await log.append(LEASE_PARTITION, [{ value }], atOffset);
    } catch (error) {
      if (!(error instanceof PortError)) {
        throw error;
      }
      // Whether the record was appended is read from the partition.
      logger.error("lease-append-failed", error, { kind: record.kind });
    }
  }

  #applyRecords(records: readonly LogRecord[]): void {
    const now = this.#getNow();
    applyRecords(records, {
      apply: ({ value, offset }) =>
        this.#lease.applyRecord(decodeLeaseRecord(value), offset, now),
      logger: this.#options.logger,
    });
    const { isHolder } = this.#lease;
    if (isHolder !== this.#wasHolder) {
      const { logger } = this.#options;
      const { fencingNumber } = this.#lease;
      isHolder
        ? logger.info("lease-gained", { token: fencingNumber })
        : logger.info("lease-lost", { token: fencingNumber });
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

function decodeLeaseRecord(value: Buffer): LeaseRecord {
  const fields = FieldReader.parse("the lease record", value);
  const kind = KINDS.find((each) => each === fields.getText("kind"));
  if (kind === undefined) {
    throw new InputError(
      `the lease record is a "${fields.getText("kind")}", expected one of ${
        KINDS.join(", ")
      }`,
    );
  }
  return {
    kind,
    host: fields.getText("host"),
    process: fields.getText("process"),
    waitMs: fields.getNumber("waitMs"),
    sequence: fields.getInteger("sequence"),
  };
}
