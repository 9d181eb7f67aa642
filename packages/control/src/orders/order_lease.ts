/**
 * Elects the one host that may send orders to engines. Engines don't check the
 * sender, so the orders of two holders must never overlap.
 *
 * Claims and renewals form one chain in a partition of the shared log: a record
 * is appended only if the partition still ends at the offset that its writer
 * has read up to. The lease holder sends orders only within a short term after
 * it sent a claim or renewal that the log accepted. The term is checked against
 * the monotonic and the wall clock, because the monotonic clock stands still
 * while a host is suspended. A new holder waits until the previous holder's term
 * and the minimum time that the platform demands between the orders of two
 * holders have passed.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";

/** Interval of the holder's renewals, in milliseconds; a third of its term. */
const RENEW_INTERVAL_MS = 600;
/** Duration of a term after a renewal was sent, in milliseconds; below the silence timeout after which other hosts claim the lease. */
const TERM_MS = 1_800;
/** Time without a lease record after which another host claims the lease, in milliseconds. */
const SILENCE_TIMEOUT_MS = 2_400;
/** Maximum time between sending an order and its arrival at the engine, in milliseconds. */
const MAX_ORDER_TRANSIT_MS = 400;

/** A record of the lease in the shared log. */
export interface LeaseRecord {
  readonly kind: "claim" | "renewal" | "release";
  /** The writing host; engines treat all processes of a host as one holder. */
  readonly host: HostId;
  readonly process: string;
  /** Remaining time until the writer may send orders, in milliseconds. */
  readonly waitMs: number;
  /** Number of the record, unique within the writing process. */
  readonly sequence: number;
}

/** Readings of the monotonic and the wall clock at one moment. */
export interface ClockPair {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** A conditional append: valid only if the partition still ends at `atOffset`. */
export interface LeaseAppend {
  readonly record: LeaseRecord;
  readonly atOffset: number;
}

/** Options of `OrderLease`. */
export interface OrderLeaseOptions {
  readonly host: HostId;
  /** Unique for each start of the host. */
  readonly process: string;
  /** Minimum time between orders of two holders to one engine, in milliseconds; a bound of the platform. */
  readonly minHandoverMs: number;
  /** Delay before a claim, in milliseconds; differs between hosts so that they don't claim at the same time. */
  readonly claimDelayMs: number;
}

/** Tracks the lease from its records and decides when this host may claim it, renew it and send orders. */
export class OrderLease {
  readonly #options: OrderLeaseOptions;
  /** Send times of appends whose records have not been read, by sequence. */
  readonly #appendTimes = new Map<number, ClockPair>();
  #sequence = 0;
  #endOffset = 0;
  #holder: LeaseRecord | undefined;
  #fencingNumber = 0;
  #lastRecordMs = 0;
  /** Send time of the last accepted claim or renewal of this process. */
  #termStart: ClockPair | undefined;
  #earliestOrderMs = -Infinity;

  constructor(options: OrderLeaseOptions) {
    this.#options = options;
  }

  /** The fencing number of the lease holder; it increases with each claim. */
  get fencingNumber(): number {
    return this.#fencingNumber;
  }

  /** Whether this process holds the lease according to the records applied so far. */
  get isHolder(): boolean {
    return this.#holder !== undefined && this.#isLocal(this.#holder);
  }

  /**
   * Sets the end offset of the partition after a read.
   *
   * @param offset - The offset after the last record.
   */
  setEndOffset(offset: number): void {
    this.#endOffset = Math.max(this.#endOffset, offset);
  }

  /**
   * Applies the next record of the partition.
   *
   * @param record - The decoded record.
   * @param offset - The offset of the record.
   * @param now - The current time.
   */
  applyRecord(record: LeaseRecord, offset: number, now: ClockPair): void {
    const orderStartMs = this.#computeEarliestOrder(record.host);
    this.#endOffset = Math.max(this.#endOffset, offset + 1);
    this.#lastRecordMs = now.monotonicMs;
    const sentAt = this.#isLocal(record)
      ? this.#appendTimes.get(record.sequence)
      : undefined;
    if (this.#isLocal(record)) {
      this.#appendTimes.delete(record.sequence);
    }
    if (record.kind === "release") {
      this.#holder = undefined;
      this.#termStart = undefined;
      this.#earliestOrderMs = now.monotonicMs + MAX_ORDER_TRANSIT_MS +
        this.#options.minHandoverMs;
      return;
    }
    if (record.kind === "claim") {
      this.#fencingNumber = offset + 1;
      this.#earliestOrderMs = orderStartMs;
    }
    this.#holder = record;
    this.#termStart = sentAt;
  }

  /**
   * Decides whether to append a claim or a renewal.
   *
   * @param now - The current time.
   * @param isCaughtUp - Whether the partition was read up to its end just now.
   */
  decideAppend(now: ClockPair, isCaughtUp: boolean): LeaseAppend | undefined {
    if (!isCaughtUp || this.#hasAppendInFlight(now)) {
      return undefined;
    }
    if (this.isHolder) {
      const termAgeMs = this.#termStart === undefined
        ? Infinity
        : now.monotonicMs - this.#termStart.monotonicMs;
      return termAgeMs >= RENEW_INTERVAL_MS
        ? this.#createAppend("renewal", now)
        : undefined;
    }
    const silentMs = now.monotonicMs - this.#lastRecordMs;
    // A previous process of this host sends no more orders, so its lease counts as free.
    const isFree = this.#holder === undefined ||
      this.#holder.host === this.#options.host;
    const requiredSilenceMs = isFree ? 0 : SILENCE_TIMEOUT_MS;
    return silentMs >= requiredSilenceMs + this.#options.claimDelayMs
      ? this.#createAppend("claim", now)
      : undefined;
  }

  /**
   * Returns the release to append if this process holds the lease.
   *
   * @param now - The current time.
   */
  decideRelease(now: ClockPair): LeaseAppend | undefined {
    return this.isHolder ? this.#createAppend("release", now) : undefined;
  }

  /**
   * Returns whether this host may send orders now.
   *
   * @param now - The current time.
   */
  canOrder(now: ClockPair): boolean {
    const termStart = this.#termStart;
    return this.isHolder && termStart !== undefined &&
      now.monotonicMs - termStart.monotonicMs < TERM_MS &&
      Math.abs(now.wallMs - termStart.wallMs) < TERM_MS &&
      now.monotonicMs >= this.#earliestOrderMs;
  }

  #createAppend(kind: LeaseRecord["kind"], now: ClockPair): LeaseAppend {
    const sequence = ++this.#sequence;
    this.#appendTimes.set(sequence, now);
    const { host, process } = this.#options;
    const orderStartMs = kind === "claim"
      ? this.#computeEarliestOrder(host)
      : this.#earliestOrderMs;
    const waitMs = Math.max(0, orderStartMs - now.monotonicMs);
    const record = { kind, host, process, sequence, waitMs };
    return { record, atOffset: this.#endOffset };
  }

  /** Returns the earliest monotonic time at which a host that claims the lease now may send orders. */
  #computeEarliestOrder(host: HostId): number {
    const previous = this.#holder;
    if (previous === undefined) {
      return this.#earliestOrderMs;
    }
    return this.#lastRecordMs +
      (previous.host === host
        ? previous.waitMs
        : TERM_MS + MAX_ORDER_TRANSIT_MS + this.#options.minHandoverMs);
  }

  #isLocal({ host, process }: LeaseRecord): boolean {
    return host === this.#options.host && process === this.#options.process;
  }

  /** Returns whether an append may still be in flight; its result is known only from the partition. */
  #hasAppendInFlight(now: ClockPair): boolean {
    for (const [sequence, sentAt] of this.#appendTimes) {
      if (now.monotonicMs - sentAt.monotonicMs > SILENCE_TIMEOUT_MS) {
        this.#appendTimes.delete(sequence);
      } else if (now.monotonicMs - sentAt.monotonicMs < RENEW_INTERVAL_MS / 2) {
        return true;
      }
    }
    return false;
  }
}
