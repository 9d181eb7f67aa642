/**
 * Who gives orders to engines: one host at a time, in the eyes of the engines,
 * which don't check.
 *
 * Claims and renewals form one chain in a partition of the shared log: each is
 * appended only where the log still ends as its writer has seen it. A holder
 * gives orders only for a short term after a renewal that the log has
 * accepted, by both clocks, as the monotonic one stands still while a host is
 * suspended. A new holder waits until the old one's term and the engines' own
 * bound between two holders are over.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";

/** How often the holder renews, in milliseconds; a third of its term. */
const RENEW_EVERY_MS = 600;
/** How long a renewal lets its holder give orders, in milliseconds; below the silence that others wait for. */
const TERM_MS = 1_800;
/** How long the lease has to be silent before another host claims it, in milliseconds. */
const SILENCE_MS = 2_400;
/** The longest way of an order to an engine, in milliseconds. */
const ORDER_FLIGHT_MS = 400;

/** A record of the lease. */
export interface LeaseRecord {
  readonly kind: "claim" | "renewal" | "release";
  /** The host and its process; to engines, all processes of a host are one holder. */
  readonly host: HostId;
  readonly process: string;
  /** How long the writer still waits before it gives orders, in milliseconds. */
  readonly waitMs: number;
  /** The writer's own number for this record. */
  readonly sequence: number;
}

/** A time by both clocks. */
export interface ClockPair {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** What to append next: only where the partition still ends at `atOffset`. */
export interface LeaseAppend {
  readonly record: LeaseRecord;
  readonly atOffset: number;
}

/** The settings of a lease. */
export interface OrderLeaseOptions {
  readonly host: HostId;
  /** Differs for each start of the host. */
  readonly process: string;
  /** The least time between orders of two holders to one engine, in milliseconds (a bound of the platform). */
  readonly turnMs: number;
  /** Spreads the claims of several hosts, in milliseconds. */
  readonly claimDelayMs: number;
}

/** The lease as this host sees it, and what it may do. */
export class OrderLease {
  readonly #options: OrderLeaseOptions;
  readonly #sent = new Map<number, ClockPair>();
  #sequence = 0;
  #endOffset = 0;
  #holder: LeaseRecord | undefined;
  #token = 0;
  #lastSeenMs = 0;
  #validSince: ClockPair | undefined;
  #mayOrderAtMs = -Infinity;

  constructor(options: OrderLeaseOptions) {
    this.#options = options;
  }

  /** The holder's number, which grows from holder to holder. */
  get token(): number {
    return this.#token;
  }

  /** Whether this host holds the lease, as far as it has read. */
  get isHolder(): boolean {
    return this.#holder !== undefined && this.#isOwn(this.#holder);
  }

  /**
   * Sets where the partition ends, after a read.
   *
   * @param offset - The offset after its last record.
   */
  setEndOffset(offset: number): void {
    this.#endOffset = Math.max(this.#endOffset, offset);
  }

  /**
   * Applies the next record of the partition.
   *
   * @param record - The record.
   * @param offset - Its offset.
   * @param now - The time.
   */
  applyRecord(record: LeaseRecord, offset: number, now: ClockPair): void {
    const orderStartMs = this.#computeOrderStart(record.host);
    this.#endOffset = Math.max(this.#endOffset, offset + 1);
    this.#lastSeenMs = now.monotonicMs;
    const sentAt = this.#isOwn(record)
      ? this.#sent.get(record.sequence)
      : undefined;
    if (this.#isOwn(record)) {
      this.#sent.delete(record.sequence);
    }
    if (record.kind === "release") {
      this.#holder = undefined;
      this.#validSince = undefined;
      this.#mayOrderAtMs = now.monotonicMs + ORDER_FLIGHT_MS +
        this.#options.turnMs;
      return;
    }
    if (record.kind === "claim") {
      this.#token = offset + 1;
      this.#mayOrderAtMs = orderStartMs;
    }
    this.#holder = record;
    this.#validSince = sentAt;
  }

  /**
   * Decides whether to claim or renew.
   *
   * @param now - The time.
   * @param isCurrent - Whether the partition was read to its end just now.
   */
  decideAppend(now: ClockPair, isCurrent: boolean): LeaseAppend | undefined {
    if (!isCurrent || this.#hasRecentlySent(now)) {
      return undefined;
    }
    if (this.isHolder) {
      const sinceMs = this.#validSince === undefined
        ? Infinity
        : now.monotonicMs - this.#validSince.monotonicMs;
      return sinceMs >= RENEW_EVERY_MS
        ? this.#createAppend("renewal", now)
        : undefined;
    }
    const silentMs = now.monotonicMs - this.#lastSeenMs;
    // An earlier process of this host gives no more orders.
    const isFree = this.#holder === undefined ||
      this.#holder.host === this.#options.host;
    const silenceMs = isFree ? 0 : SILENCE_MS;
    return silentMs >= silenceMs + this.#options.claimDelayMs
      ? this.#createAppend("claim", now)
      : undefined;
  }

  /**
   * Returns the record that gives the lease up, where this host holds it.
   *
   * @param now - The time.
   */
  decideRelease(now: ClockPair): LeaseAppend | undefined {
    return this.isHolder ? this.#createAppend("release", now) : undefined;
  }

  /**
   * Tells whether this host may give orders now.
   *
   * @param now - The time.
   */
  canOrder(now: ClockPair): boolean {
    const since = this.#validSince;
    return this.isHolder && since !== undefined &&
      now.monotonicMs - since.monotonicMs < TERM_MS &&
      Math.abs(now.wallMs - since.wallMs) < TERM_MS &&
      now.monotonicMs >= this.#mayOrderAtMs;
  }

  #createAppend(kind: LeaseRecord["kind"], now: ClockPair): LeaseAppend {
    const sequence = ++this.#sequence;
    this.#sent.set(sequence, now);
    const { host, process } = this.#options;
    const startMs = kind === "claim"
      ? this.#computeOrderStart(host)
      : this.#mayOrderAtMs;
    const waitMs = Math.max(0, startMs - now.monotonicMs);
    const record = { kind, host, process, sequence, waitMs };
    return { record, atOffset: this.#endOffset };
  }

  /** Returns when a host that claims the lease now may begin to give orders. */
  #computeOrderStart(host: HostId): number {
    const previous = this.#holder;
    if (previous === undefined) {
      return this.#mayOrderAtMs;
    }
    return this.#lastSeenMs +
      (previous.host === host
        ? previous.waitMs
        : TERM_MS + ORDER_FLIGHT_MS + this.#options.turnMs);
  }

  #isOwn({ host, process }: LeaseRecord): boolean {
    return host === this.#options.host && process === this.#options.process;
  }

  /** An append may still be on its way; what it did shows in the partition. */
  #hasRecentlySent(now: ClockPair): boolean {
    for (const [sequence, at] of this.#sent) {
      if (now.monotonicMs - at.monotonicMs > SILENCE_MS) {
        this.#sent.delete(sequence);
      } else if (now.monotonicMs - at.monotonicMs < RENEW_EVERY_MS / 2) {
        return true;
      }
    }
    return false;
  }
}
