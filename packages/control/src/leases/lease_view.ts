/**
 * The view that one host has of the lease stream: the lease table built from
 * the pages that it has read, and when it read the holders' records. A gap in
 * the offsets resets the view.
 * @module
 */
import type {
  ReadPage,
  ReadRecord,
} from "../configuration/configuration_fold.ts";
import {
  applyLeaseRecord,
  createLeaseTable,
  findLeaseEntry,
  type LeaseEntry,
  type LeaseTable,
  NEVER_HELD,
} from "./lease_table.ts";
import type { LeaseCommand } from "./lease_machine.ts";
import {
  decodeLeaseRecord,
  type LeaseClaim,
  type LeaseRecord,
  NO_RECORD,
} from "./lease_record.ts";

/** A new view starts at most this many records before the stream's end. */
const INITIAL_WINDOW_RECORDS = 64;

/** Receives the changes of a view. */
export interface LeaseViewListener {
  /** The view was reset or has caught up; all leases have to be read again. */
  readonly onReset: () => void;
  /** A record was applied. */
  readonly onRecord: (record: LeaseRecord) => void;
}

/** One host's view of the lease stream. */
export class LeaseView {
  readonly #listener: LeaseViewListener;
  readonly #confirmedAtMs = new Map<string, number>();
  /** The fencing numbers of holders that no earlier holder precedes. */
  readonly #firstFencing = new Map<string, number>();
  #table: LeaseTable | undefined;
  #lastPageAtMs = -Infinity;
  #isCaughtUp = false;

  constructor(listener: LeaseViewListener) {
    this.#listener = listener;
  }

  /** Returns the next offset to read; undefined before the first page. */
  getNextOffset(): number | undefined {
    return this.#table === undefined ? undefined : this.#table.offset + 1;
  }

  /** Returns whether a page was read since the last reset. */
  hasTable(): boolean {
    return this.#table !== undefined;
  }

  /**
   * Returns the time since the last page was read.
   *
   * @param nowMs - The monotonic time.
   */
  computeAgeMs(nowMs: number): number {
    return nowMs - this.#lastPageAtMs;
  }

  /**
   * Returns when a valid record of a lease's holder was last read.
   *
   * @param lease - The lease.
   */
  getConfirmedAtMs(lease: string): number | undefined {
    return this.#confirmedAtMs.get(lease);
  }

  /**
   * Returns the state of a lease, or undefined if it is unknown.
   *
   * @param lease - The lease.
   */
  findEntry(lease: string): LeaseEntry | undefined {
    const table = this.#table;
    const found = table && findLeaseEntry(table, lease);
    return found ?? (table?.complete && this.#isCaughtUp ? NEVER_HELD : found);
  }

  /**
   * Returns whether the current holder of a lease is its first. A claim that
   * names no earlier record is valid only for a reader of the complete stream.
   *
   * @param lease - The lease.
   */
  isFirstHolder(lease: string): boolean {
    const fencing = this.findEntry(lease)?.holder?.fencing;
    return fencing !== undefined && this.#firstFencing.get(lease) === fencing;
  }

  /**
   * Builds a claim that names the last record of its lease.
   *
   * @param lease - The lease.
   * @param kind - The kind of claim.
   */
  buildClaim(lease: string, kind: LeaseCommand): LeaseClaim {
    const entry = this.findEntry(lease);
    const fencing = entry?.holder?.fencing;
    const after = entry?.last ?? NO_RECORD;
    return kind === "claim" || fencing === undefined
      ? { lease, kind, after }
      : { lease, kind, after, fencing };
  }

  /** Discards the table; the next page starts a new view of the stream. */
  clear(): void {
    this.#table = undefined;
    this.#isCaughtUp = false;
    this.#confirmedAtMs.clear();
  }

  /**
   * Applies a page; a gap in the offsets resets the view.
   *
   * @param page - The page, with the end offset of the stream.
   * @param nowMs - The monotonic time after the page arrived.
   */
  applyPage(
    page: ReadPage & { readonly end: number },
    nowMs: number,
  ): void {
    this.#lastPageAtMs = nowMs;
    if (this.#table === undefined || page.first > this.#table.offset + 1) {
      const from = Math.max(page.first, page.end - INITIAL_WINDOW_RECORDS);
      this.#table = createLeaseTable(from);
      this.#isCaughtUp = false;
      this.#listener.onReset();
    }
    for (const read of page.records) {
      this.#applyRecord(read, nowMs);
    }
    if (!this.#isCaughtUp && this.#table.offset + 1 >= page.end) {
      this.#isCaughtUp = true;
      this.#listener.onReset();
    }
  }

  #applyRecord(read: ReadRecord, nowMs: number): void {
    const table = this.#table;
    if (table === undefined || read.offset !== table.offset + 1) {
      return;
    }
    this.#table = applyLeaseRecord(table, read);
    const record = decodeLeaseRecord(read.value);
    if (record === undefined) {
      return;
    }
    // Records from before the view caught up may be of a holder that is gone.
    if (this.#isCaughtUp) {
      this.#setConfirmed(record, { offset: read.offset, nowMs });
    }
    this.#setFirstHolders(record, read.offset);
    this.#listener.onRecord(record);
  }

  #setFirstHolders(record: LeaseRecord, offset: number): void {
    for (const { lease, kind, after } of record.claims) {
      const holder = this.findEntry(lease)?.holder;
      if (
        kind === "claim" && after === NO_RECORD && holder?.fencing === offset
      ) {
        this.#firstFencing.set(lease, offset);
      }
    }
  }

  #setConfirmed(
    record: LeaseRecord,
    read: { readonly offset: number; readonly nowMs: number },
  ): void {
    for (const { lease } of record.claims) {
      const entry = this.findEntry(lease);
      if (entry?.state === "held" && entry.validOffset === read.offset) {
        this.#confirmedAtMs.set(lease, read.nowMs);
      }
    }
  }
}
