/**
 * Holds the lots of one partition, built from its records in log order.
 * @module
 */
import type { LotId } from "@briarhill/common/ids/ids";
import type { LogRecord } from "@briarhill/common/log/shared_log";
import { Buffer } from "node:buffer";
import { LedgerLot } from "./ledger_lot.ts";
import { type LotRecordKey, parseLotKey } from "./lot_record.ts";
import type { LotProgress, LotRequest, SampleResult } from "./lot_request.ts";

/**
 * The lots of one partition. Every host that has applied the same records holds
 * the same lots with the same positions; this class must not make decisions of
 * its own.
 */
export class LotLedger {
  readonly #lots = new Map<LotId, LedgerLot>();
  readonly #partsByAppend = new Map<string, (Buffer | undefined)[]>();
  /** Records of lots whose own record has not been read yet. */
  readonly #pendingRecords = new Map<LotId, LogRecord[]>();

  /**
   * Applies the next record and returns the lot that it changes, if any.
   *
   * @param record - The record, in the order of the log.
   */
  applyRecord(record: LogRecord): LedgerLot | undefined {
    const key = parseLotKey(record.key);
    if (record.value.length === 0) {
      this.#lots.delete(key.lot);
      return undefined;
    }
    if (key.kind === "lot") {
      return this.#applyPart(key, record);
    }
    const lot = this.#lots.get(key.lot);
    if (lot === undefined) {
      const pending = this.#pendingRecords.get(key.lot) ?? [];
      this.#pendingRecords.set(key.lot, [...pending, record]);
      return undefined;
    }
    applyToLot(lot, key.kind, record);
    return lot;
  }

  /**
   * Returns a lot, or undefined if no lot with this id was accepted.
   *
   * @param id - The lot's id.
   */
  getLot(id: LotId): LedgerLot | undefined {
    return this.#lots.get(id);
  }

  /**
   * Assembles a lot from its parts; a lot that is accepted again retains its
   * first content.
   */
  #applyPart(key: LotRecordKey, record: LogRecord): LedgerLot | undefined {
    if (this.#lots.has(key.lot)) {
      return undefined;
    }
    const appendKey = `${key.lot}|${key.nonce}`;
    const parts = this.#partsByAppend.get(appendKey) ??
      new Array<Buffer | undefined>(key.parts).fill(undefined);
    parts[key.part] = record.value;
    this.#partsByAppend.set(appendKey, parts);
    const receivedParts = parts.filter((part) => part !== undefined);
    if (receivedParts.length < key.parts) {
      return undefined;
    }
    this.#partsByAppend.delete(appendKey);
    const lot = new LedgerLot(
      JSON.parse(Buffer.concat(receivedParts).toString()) as LotRequest,
    );
    this.#lots.set(lot.id, lot);
    const pending = this.#pendingRecords.get(lot.id) ?? [];
    this.#pendingRecords.delete(lot.id);
    pending.forEach((one) => this.applyRecord(one));
    return lot;
  }
}

/** Values need no validation, because only hosts write these records. */
function applyToLot(
  lot: LedgerLot,
  kind: LotRecordKey["kind"],
  { value }: LogRecord,
): void {
  if (kind === "end") {
    lot.close();
  } else if (kind === "progress") {
    lot.addProgress(JSON.parse(value.toString()) as LotProgress);
  } else {
    lot.settleResults(JSON.parse(value.toString()) as SampleResult[]);
  }
}
