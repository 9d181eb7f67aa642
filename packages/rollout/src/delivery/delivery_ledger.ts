/**
 * Derives the state of a lot from the records of its stream. The state depends
 * on the records and their order alone, so that all hosts agree on it.
 * @module
 */
import type {
  CloseRecord,
  DeliveryRecord,
  LotOwnerId,
  OpenRecord,
  SettledSample,
  SettleRecord,
} from "./delivery_record.ts";

/** A page of a lot's stream. */
export interface DeliveryPage {
  readonly records: readonly {
    readonly offset: number;
    readonly record: DeliveryRecord | undefined;
  }[];
  /** The oldest offset that the log retains. */
  readonly first: number;
  /** The offset after the last one read. */
  readonly next: number;
}

/**
 * The state of a lot's stream. All hosts that have read up to the same offset
 * have the same state. The epoch is the offset of the record that made the
 * current owner the owner; later records that name an older epoch are void. The
 * slot at a position never changes, only the attempt that fills it, so that a
 * late or repeated pull can't move a slot to a second position.
 */
export class DeliveryLedger {
  #next = 0;
  #hasExpired = false;
  #openRecord: OpenRecord | undefined;
  #epoch = -1;
  #owner: LotOwnerId | undefined;
  #closeReason: CloseRecord["reason"] | undefined;
  readonly #settled: SettledSample[] = [];
  readonly #positionBySlot = new Map<number, number>();

  /** Returns the offset at which to continue reading. */
  getNextOffset(): number {
    return this.#next;
  }

  /** Returns whether the log trimmed records of the lot that were not read. */
  hasExpired(): boolean {
    return this.#hasExpired;
  }

  /** Returns the record that opened the lot. */
  getOpenRecord(): OpenRecord | undefined {
    return this.#openRecord;
  }

  /** Returns the current epoch, or -1 before the lot was opened. */
  getEpoch(): number {
    return this.#epoch;
  }

  /** Returns the process that owns the lot. */
  getOwner(): LotOwnerId | undefined {
    return this.#owner;
  }

  /** Returns why the lot was closed, or undefined while it is open. */
  getCloseReason(): CloseRecord["reason"] | undefined {
    return this.#closeReason;
  }

  /** Returns the number of settled positions. */
  countSettled(): number {
    return this.#settled.length;
  }

  /**
   * Returns the sample that is settled at a position.
   *
   * @param position - The position, from 0.
   */
  getSettled(position: number): SettledSample | undefined {
    return this.#settled[position];
  }

  /**
   * Returns the sample that is settled for a slot.
   *
   * @param slot - The slot, from 0.
   */
  getSettledBySlot(slot: number): SettledSample | undefined {
    const position = this.#positionBySlot.get(slot);
    return position === undefined ? undefined : this.#settled[position];
  }

  /**
   * Lists the slots that have no position yet.
   *
   * @param count - The number of slots in the lot.
   */
  listOpenSlots(count: number): readonly number[] {
    return Array.from({ length: count }, (_, slot) => slot)
      .filter((slot) => !this.#positionBySlot.has(slot));
  }

  /**
   * Returns whether a process owns the lot.
   *
   * @param process - The process to compare with the owner.
   */
  isOwner(process: LotOwnerId): boolean {
    return this.#owner?.host === process.host &&
      this.#owner.incarnation === process.incarnation;
  }

  /**
   * Applies a page read from {@link DeliveryLedger.getNextOffset}. Records that
   * were applied before are ignored.
   *
   * @param page - The page of the lot's stream.
   */
  applyPage(page: DeliveryPage): void {
    if (page.first > this.#next) {
      this.#hasExpired = true;
    }
    for (const { offset, record } of page.records) {
      if (offset >= this.#next && record !== undefined) {
        this.#applyRecord(offset, record);
      }
    }
    this.#next = Math.max(this.#next, page.next);
  }

  #applyRecord(offset: number, record: DeliveryRecord): void {
    switch (record.kind) {
      case "open":
        if (this.#openRecord === undefined) {
          this.#openRecord = record;
          this.#setOwner(offset, record);
        }
        return;
      case "take":
        if (record.after === this.#epoch && this.#closeReason === undefined) {
          this.#setOwner(offset, record);
        }
        return;
      case "settle":
        if (record.epoch === this.#epoch && this.#closeReason === undefined) {
          this.#applySettle(record);
        }
        return;
      case "close":
        if (record.epoch === this.#epoch) {
          this.#closeReason ??= record.reason;
        }
    }
  }

  #setOwner(offset: number, { host, incarnation }: LotOwnerId): void {
    this.#epoch = offset;
    this.#owner = { host, incarnation };
  }

  /** Applies all of a settle record, or nothing if one sample is invalid. */
  #applySettle({ samples }: SettleRecord): void {
    let nextPosition = this.#settled.length;
    const slots = new Set<number>();
    for (const sample of samples) {
      const known = this.#settled[sample.position];
      const isValid = known === undefined
        ? sample.position === nextPosition++ &&
          !this.#positionBySlot.has(sample.slot)
        : known.slot === sample.slot && known.attempt < sample.attempt;
      if (!isValid || slots.has(sample.slot)) {
        return;
      }
      slots.add(sample.slot);
    }
    for (const sample of samples) {
      this.#settled[sample.position] = sample;
      this.#positionBySlot.set(sample.slot, sample.position);
    }
  }
}
