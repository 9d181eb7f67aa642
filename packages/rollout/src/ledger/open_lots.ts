/**
 * Which lots of one shard are open, and which were closed and are still kept.
 *
 * A shard holds the lots of some models, so that one host runs all lots of a
 * model: it knows its engines' load exactly, and what it has generated for a
 * group helps the next lot that asks for it.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { LotId } from "@briarhill/common/ids/ids";
import type { LogRecord, NewLogRecord } from "@briarhill/common/log/shared_log";
import { Buffer } from "node:buffer";

/** Where the records of a lot lie, and since when it is closed. */
export interface OpenLotEntry {
  readonly lot: LotId;
  /** The partition that holds its records. */
  readonly partition: number;
  /** The process that runs it; undefined where none has claimed it. */
  readonly owner?: string;
  /** When it was closed, in milliseconds since 1970; undefined while it is open. */
  readonly closedAtMs?: number;
}

/**
 * Returns the record that tells of a lot; a later one replaces it.
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
 * Returns the record that forgets a lot.
 *
 * @example
 * ```ts
 * const record = encodeForgottenLot("a");
 * ```
 * @param lot - The lot.
 */
export function encodeForgottenLot(lot: LotId): NewLogRecord {
  return { key: lot, value: Buffer.alloc(0) };
}

/** The lots of one shard. */
export class OpenLots {
  readonly #entries = new Map<LotId, OpenLotEntry>();

  /**
   * Applies the next record; a lot that was closed stays closed, and one that
   * is announced again keeps its owner.
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
    throw new InputError(`the entry of lot "${lot}" names no partition`);
  }
  return { lot, ...fields, partition: fields.partition };
}
