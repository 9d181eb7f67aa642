/**
 * Member records, which the hosts exchange by gossip, and the order by which
 * the newer of two records of one host prevails.
 * @module
 */
import type {
  FailureDomain,
  HostId,
  Incarnation,
  Region,
} from "@briarhill/common/ids/ids";

/** The status of a host as the members observe it. */
export type MemberStatus = "alive" | "suspect" | "failed";

/** The state of one host. */
export interface MemberRecord {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Incremented only by the host itself, to refute a false suspicion. */
  readonly refutation: number;
  readonly status: MemberStatus;
  /** Whether the host is stopping; once set, it stays set for the incarnation. */
  readonly leaving: boolean;
  /** The address of its peer listener. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly region: Region;
}

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  failed: 2,
};

/**
 * Compares two records of one host by age. The result is positive when the
 * first is newer.
 *
 * @example
 * ```ts
 * const isNewer = compareRecords(received, known) > 0;
 * ```
 * @param a - A record.
 * @param b - Another record of the same host.
 */
export function compareRecords(a: MemberRecord, b: MemberRecord): number {
  if (a.incarnation !== b.incarnation) {
    return a.incarnation - b.incarnation;
  }
  if (a.refutation !== b.refutation) {
    return a.refutation - b.refutation;
  }
  return STATUS_RANK[a.status] - STATUS_RANK[b.status];
}

/**
 * Merges two records of one host: the newer one prevails, and `leaving` stays
 * set within an incarnation.
 *
 * @example
 * ```ts
 * const merged = mergeRecords(known, received);
 * ```
 * @param known - The record in the table.
 * @param received - The received record.
 */
export function mergeRecords(
  known: MemberRecord,
  received: MemberRecord,
): MemberRecord {
  const newer = compareRecords(received, known) > 0 ? received : known;
  const leaving = known.incarnation === received.incarnation &&
    (known.leaving || received.leaving);
  return leaving && !newer.leaving ? { ...newer, leaving } : newer;
}

/**
 * Returns whether two records of one host are equivalent.
 *
 * @example
 * ```ts
 * const hasChanged = !isSameRecord(mergeRecords(known, received), known);
 * ```
 * @param a - A record.
 * @param b - Another record of the same host.
 */
export function isSameRecord(a: MemberRecord, b: MemberRecord): boolean {
  return compareRecords(a, b) === 0 && a.leaving === b.leaving;
}

/**
 * Hashes the host, incarnation, refutation, status and leaving flag of a record
 * into 32 bits.
 *
 * @example
 * ```ts
 * digest ^= hashRecord(record);
 * ```
 * @param record - The record to hash.
 */
export function hashRecord(record: MemberRecord): number {
  const { host, incarnation, refutation, status, leaving } = record;
  return hashText(`${host}|${incarnation}|${refutation}|${status}|${leaving}`);
}

/**
 * Hashes a text into 32 bits (FNV-1a with a final mix).
 *
 * @example
 * ```ts
 * const position = hashText(`ring 0|${host}`);
 * ```
 * @param text - The text to hash.
 */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
