/**
 * The lots of one partition, as its records tell them in their order.
 * @module
 */
import type { LotId } from "@briarhill/common/ids/ids";
import type { LogRecord } from "@briarhill/common/log/shared_log";
import { Buffer } from "node:buffer";
import { LedgerLot } from "./ledger_lot.ts";
import { type LotRecordKey, parseLotKey } from "./lot_record.ts";
import type { LotProgress, LotRequest, SampleResult } from "./lot_request.ts";

/**
 * The lots of one partition. Every host that has applied the same records
 * holds the same lots with the same positions; no host decides anything here.
 */
export class LotLedger {
  readonly #lots = new Map<LotId, LedgerLot>();
  readonly #parts = new Map<string, (Buffer | undefined)[]>();
  /** Records of lots whose own record has not come yet. */
  readonly #early = new Map<LotId, LogRecord[]>();

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
      const early = this.#early.get(key.lot) ?? [];
      this.#early.set(key.lot, [...early, record]);
      return undefined;
    }
    applyToLot(lot, key.kind, record);
    return lot;
  }

  /**
   * Returns a lot, or undefined where none of that id was accepted.
   *
   * @param id - The lot's id.
   */
  getLot(id: LotId): LedgerLot | undefined {
    return this.#lots.get(id);
  }

  /** Puts the parts of a lot together; a lot that is accepted again keeps its first form. */
  #applyPart(key: LotRecordKey, record: LogRecord): LedgerLot | undefined {
    if (this.#lots.has(key.lot)) {
      return undefined;
    }
    const name = `${key.lot}|${key.nonce}`;
    const parts = this.#parts.get(name) ??
      new Array<Buffer | undefined>(key.parts).fill(undefined);
    parts[key.part] = record.value;
    this.#parts.set(name, parts);
    const whole = parts.filter((part) => part !== undefined);
    if (whole.length < key.parts) {
      return undefined;
    }
    this.#parts.delete(name);
    const lot = new LedgerLot(
      JSON.parse(Buffer.concat(whole).toString()) as LotRequest,
    );
    this.#lots.set(lot.id, lot);
    const early = this.#early.get(lot.id) ?? [];
    this.#early.delete(lot.id);
    early.forEach((one) => this.applyRecord(one));
    return lot;
  }
}

/** Only hosts write these records, so that their form is known. */
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
