/**
 * Tracks which lots of one shard are open, and which were closed and are still
 * retained.
 *
 * A shard holds the lots of certain models, so that one host runs all lots of a
 * model: it knows the load of its engines exactly, and what it has generated
 * for a group helps the next lot that requests the same group.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { LotId } from "@briarhill/common/ids/ids";
import type { LogRecord, NewLogRecord } from "@briarhill/common/log/shared_log";
import { Buffer } from "node:buffer";

/** The location of a lot's records, its owner, and the time at which it was closed. */
export interface OpenLotEntry {
  readonly lot: LotId;
  /** The partition that holds its records. */
  readonly partition: number;
  /** The process that runs the lot; undefined if none has claimed it. */
  readonly owner?: string;
  /** When it was closed, in milliseconds since 1970; undefined while it is open. */
  readonly closedAtMs?: number;
}

/**
 * Encodes the entry of a lot; a later record replaces it.
 *
 * @example
 * ```ts
 * const record = encodeOpenLot({ lot: "a", partition: 3 });
 * ```
 * @param entry - The lot.
 */
export function encodeOpenLot(entry: OpenLotEntry): NewLogRecord {
  const { lot, ...value } = entry;
  return { key: lot, value: Buffer.from(JSON.stringify(value)) };
}

/**
 * Encodes the tombstone that removes the entry of a lot.
 *
 * @example
 * ```ts
 * const record = encodeLotTombstone("a");
 * ```
 * @param lot - The lot.
 */
export function encodeLotTombstone(lot: LotId): NewLogRecord {
  return { key: lot, value: Buffer.alloc(0) };
}

/** The lots of one shard. */
export class OpenLots {
  readonly #entries = new Map<LotId, OpenLotEntry>();

  /**
   * Applies the next record; a closed lot stays closed, and a lot that is
   * announced again retains its owner.
   *
   * @param record - The record.
   */
  applyRecord({ key, value }: LogRecord): void {
    if (value.length === 0) {
      this.#entries.delete(key);
      return;
    }
    const entry = parseEntry(key, value);
    const known = this.#entries.get(key);
    if (known?.closedAtMs === undefined) {
      this.#entries.set(key, { ...known, ...entry });
    }
  }

  /** Returns the open lots in the order in which they were announced. */
  listOpen(): readonly OpenLotEntry[] {
    return [...this.#entries.values()].filter(({ closedAtMs }) =>
      closedAtMs === undefined
    );
  }

  /**
   * Returns the lots that were closed before a time.
   *
   * @param beforeMs - The time, in milliseconds since 1970.
   */
  listClosed(beforeMs: number): readonly OpenLotEntry[] {
    return [...this.#entries.values()].filter(({ closedAtMs = Infinity }) =>
      closedAtMs < beforeMs
    );
  }
}

function parseEntry(lot: LotId, value: Buffer): OpenLotEntry {
  const fields = JSON.parse(value.toString()) as Partial<OpenLotEntry>;
  if (typeof fields.partition !== "number") {
    throw new InputError(
      `the entry of lot "${lot}" has no number as its partition`,
    );
  }
  return { lot, ...fields, partition: fields.partition };
}
