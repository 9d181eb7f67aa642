/**
 * The schema and encoding of the records of the lease stream. One record
 * carries all claims that a host makes at a time.
 * @module
 */
import { z } from "zod";

/** The stream of the platform's log that holds the leases. */
export const LEASE_STREAM = "leases";

/** The `after` of a claim whose writer knows of no earlier record. */
export const NO_RECORD = -1;

const count = z.number().int().min(0);

const LEASE_CLAIM = z.object({
  lease: z.string().min(1).max(200),
  kind: z.enum(["claim", "renew", "release"]),
  /** The offset of the lease's last record that the writer had read. */
  after: z.number().int().min(NO_RECORD),
  /** The fencing number that is renewed or released. */
  fencing: count.optional(),
});

/** A claim, renewal or release of one lease. */
export type LeaseClaim = Readonly<z.output<typeof LEASE_CLAIM>>;

const LEASE_RECORD = z.object({
  host: z.string().min(1),
  /** The incarnation of the host's process. */
  epoch: count,
  sequence: count,
  claims: z.array(LEASE_CLAIM).min(1),
});

/** A record with all claims that a host makes at a time. */
export type LeaseRecord = Readonly<z.output<typeof LEASE_RECORD>>;

/** An encoded record that is to be appended. */
export interface LeaseAppend {
  readonly sequence: number;
  readonly value: string;
}

/**
 * Encodes a record for the log.
 *
 * @example
 * ```ts
 * await log.append(LEASE_STREAM, encodeLeaseRecord(record));
 * ```
 * @param record - The record.
 */
export function encodeLeaseRecord(record: LeaseRecord): string {
  return JSON.stringify(record);
}

/**
 * Decodes a record of the log; returns undefined for a malformed one.
 *
 * @example
 * ```ts
 * const record = decodeLeaseRecord(page.records[0].value);
 * ```
 * @param value - The record as JSON.
 */
export function decodeLeaseRecord(value: string): LeaseRecord | undefined {
  try {
    return LEASE_RECORD.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
