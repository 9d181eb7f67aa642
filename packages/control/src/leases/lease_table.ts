/**
 * Determines the holder of each lease from the order of the lease stream alone.
 *
 * A claim names the last record of its lease that its writer had read, and is
 * valid only if that is still the last one. The order of the log thus acts as a
 * compare-and-set, and no wall clock is involved. A claimant waits until the
 * term of the holder that it has observed is over; see docs/design/leases.md.
 * @module
 */
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";
import {
  decodeLeaseRecord,
  type LeaseClaim,
  type LeaseRecord,
  NO_RECORD,
} from "./lease_record.ts";

/** One incarnation of a host, which may hold leases. */
export interface HostIncarnation {
  readonly host: HostId;
  readonly epoch: Incarnation;
}

/** The holder of a lease. */
export interface LeaseHolder extends HostIncarnation {
  /** The offset of the claim; the holder's orders carry this number. */
  readonly fencing: number;
  /** The sequence of the holder's newest valid record. */
  readonly sequence: number;
}

/** The state of one lease after a prefix of the stream. */
export interface LeaseEntry {
  /** The offset of the last record of any writer. */
  readonly last: number;
  readonly lastWriter: HostIncarnation;
  readonly lastSequence: number;
  /**
   * "uncertain": the records that decide whether the only known one is valid
   * were not read, so it is used as the last record and for nothing else.
   */
  readonly state: "held" | "free" | "uncertain";
  /** The holder; only set in the state "held". */
  readonly holder: LeaseHolder | undefined;
  /** The offset of the last valid record, from which the state follows. */
  readonly validOffset: number;
}

/** The state of a lease that does not occur in the complete stream. */
export const NEVER_HELD: LeaseEntry = {
  last: NO_RECORD,
  lastWriter: { host: "", epoch: 0 },
  lastSequence: 0,
  state: "free",
  holder: undefined,
  validOffset: NO_RECORD,
};

/** The state of all leases after a prefix of the stream. */
export interface LeaseTable {
  /** The offset of the last applied record. */
  readonly offset: number;
  /** Whether the stream was read from its first record on. */
  readonly complete: boolean;
  readonly entries: ReadonlyMap<string, LeaseEntry>;
}

/**
 * Creates a table for a reader that starts at an offset.
 *
 * @example
 * ```ts
 * const table = createLeaseTable(Math.max(page.first, page.end - 256));
 * ```
 * @param from - The first offset that will be read.
 */
export function createLeaseTable(from: number): LeaseTable {
  return { offset: from - 1, complete: from === 0, entries: new Map() };
}

/**
 * Applies the record at the offset after the table's.
 *
 * @example
 * ```ts
 * table = applyLeaseRecord(table, record);
 * ```
 * @param table - The table before the record.
 * @param read - The record and its offset.
 */
export function applyLeaseRecord(
  table: LeaseTable,
  read: { readonly offset: number; readonly value: string },
): LeaseTable {
  const record = decodeLeaseRecord(read.value);
  if (record === undefined) {
    return { ...table, offset: read.offset };
  }
  const entries = new Map(table.entries);
  for (const claim of record.claims) {
    const previous = findLeaseEntry({ ...table, entries }, claim.lease);
    entries.set(
      claim.lease,
      applyClaim(previous, { claim, record, offset: read.offset }),
    );
  }
  return { ...table, offset: read.offset, entries };
}

/**
 * Returns the state of a lease, or undefined if it is unknown. Only a reader of
 * the complete stream can know that a lease was never claimed and is free.
 *
 * @example
 * ```ts
 * const holder = findLeaseEntry(table, "snapshots")?.holder;
 * ```
 * @param table - The table.
 * @param lease - The lease.
 */
export function findLeaseEntry(
  table: LeaseTable,
  lease: string,
): LeaseEntry | undefined {
  return table.entries.get(lease) ?? (table.complete ? UNCLAIMED : undefined);
}

const UNCLAIMED: LeaseEntry = {
  last: NO_RECORD,
  lastWriter: { host: "", epoch: 0 },
  lastSequence: NO_RECORD,
  state: "free",
  holder: undefined,
  validOffset: NO_RECORD,
};

interface LoggedClaim {
  readonly claim: LeaseClaim;
  readonly record: LeaseRecord;
  readonly offset: number;
}

function applyClaim(
  previous: LeaseEntry | undefined,
  logged: LoggedClaim,
): LeaseEntry {
  const { claim, record, offset } = logged;
  const { host, epoch, sequence } = record;
  const lastRecord = {
    last: offset,
    lastWriter: { host, epoch },
    lastSequence: sequence,
  };
  if (previous === undefined) {
    const holder = undefined;
    return { ...lastRecord, state: "uncertain", holder, validOffset: offset };
  }
  if (!isValid(previous, logged)) {
    return { ...previous, ...lastRecord };
  }
  if (claim.kind === "release") {
    return {
      ...lastRecord,
      state: "free",
      holder: undefined,
      validOffset: offset,
    };
  }
  const fencing = claim.kind === "renew" ? claim.fencing ?? offset : offset;
  const holder = { host, epoch, fencing, sequence };
  return { ...lastRecord, state: "held", holder, validOffset: offset };
}

/**
 * A renewal or release after an uncertain record is valid, because its writer
 * had read that record and still held the lease after it.
 */
function isValid(previous: LeaseEntry, logged: LoggedClaim): boolean {
  const { claim, record } = logged;
  if (claim.after !== previous.last) {
    return false;
  }
  return claim.kind === "claim" || previous.state === "uncertain" ||
    (isSameIncarnation(previous.holder, record) &&
      previous.holder?.fencing === claim.fencing);
}

/**
 * Returns whether two incarnations are the same process.
 *
 * @example
 * ```ts
 * isSameIncarnation(entry.holder, self);
 * ```
 * @param a - The first incarnation; undefined equals none.
 * @param b - The second incarnation.
 */
export function isSameIncarnation(
  a: HostIncarnation | undefined,
  b: HostIncarnation,
): boolean {
  return a !== undefined && a.host === b.host && a.epoch === b.epoch;
}
