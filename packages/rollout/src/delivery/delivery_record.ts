/**
 * The records of a lot's stream in the platform's log, and their format.
 * Records hold the hashes of samples, never their bodies.
 * @module
 */
import type {
  CustomerId,
  HostId,
  Incarnation,
} from "@briarhill/common/ids/ids";

/** The process that owns a lot. */
export interface LotOwnerId {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** Opens a stream: a host accepted the lot. */
export interface OpenRecord extends LotOwnerId {
  readonly kind: "open";
  readonly customer: CustomerId;
  /** The SHA-256 of the lot's content. */
  readonly digest: string;
  readonly samples: number;
  /** The hosts that hold a copy of the lot's prompts. */
  readonly keepers: readonly HostId[];
}

/** Records a takeover; valid only if it names the current epoch. */
export interface TakeoverRecord extends LotOwnerId {
  readonly kind: "take";
  readonly after: number;
}

/** The sample that is settled at a position. */
export interface SettledSample {
  readonly position: number;
  readonly slot: number;
  readonly attempt: number;
  /** The SHA-256 of the sample, including its spans and score. */
  readonly hash: string;
}

/** Settles samples at positions; valid only in the epoch that it names. */
export interface SettleRecord {
  readonly kind: "settle";
  readonly epoch: number;
  readonly samples: readonly SettledSample[];
}

/** Closes a lot; valid only in the epoch that it names. */
export interface CloseRecord {
  readonly kind: "close";
  readonly epoch: number;
  readonly reason: "delivered" | "cancelled";
}

/** A record of a lot's stream. */
export type DeliveryRecord =
  | OpenRecord
  | TakeoverRecord
  | SettleRecord
  | CloseRecord;

type SettledTuple = readonly [number, number, number, string];

/**
 * Formats a record for the log. Settled samples are written as tuples, which
 * halves their size.
 *
 * @example
 * ```ts
 * await log.append(stream, formatDeliveryRecord(record));
 * ```
 * @param record - The record to append.
 */
export function formatDeliveryRecord(record: DeliveryRecord): string {
  if (record.kind !== "settle") {
    return JSON.stringify(record);
  }
  const samples = record.samples.map((sample): SettledTuple => [
    sample.position,
    sample.slot,
    sample.attempt,
    sample.hash,
  ]);
  return JSON.stringify({ ...record, samples });
}

/**
 * Parses a record of the log. Returns undefined for malformed JSON and for an
 * unknown kind, such as one written by a newer release.
 *
 * @example
 * ```ts
 * const record = parseDeliveryRecord(logRecord.value);
 * ```
 * @param value - The record's JSON text.
 */
export function parseDeliveryRecord(
  value: string,
): DeliveryRecord | undefined {
  let record: DeliveryRecord;
  try {
    record = JSON.parse(value);
  } catch {
    return undefined;
  }
  switch (record?.kind) {
    case "settle":
      return { ...record, samples: parseSettledSamples(record.samples) };
    case "open":
    case "take":
    case "close":
      return record;
    default:
      return undefined;
  }
}

function parseSettledSamples(
  samples: readonly unknown[],
): readonly SettledSample[] {
  return (samples as readonly SettledTuple[]).map(
    ([position, slot, attempt, hash]) => ({ position, slot, attempt, hash }),
  );
}
