/**
 * Tracks when a host sent its lease records. A holder's term starts at the
 * moment before its record was sent, not when the record is read back.
 * @module
 */
import { LEASE_TERM_MS, type LeaseTime } from "./lease_time.ts";

/** The sending times of records that the host has not read back yet. */
export class SentRecords {
  readonly #sent = new Map<number, LeaseTime>();

  /**
   * Adds a record, and removes those whose term is over by now.
   *
   * @param sequence - The record's sequence.
   * @param now - The host's time before the record is sent.
   */
  add(sequence: number, now: LeaseTime): void {
    this.#sent.set(sequence, now);
    for (const [older, sentAt] of this.#sent) {
      if (now.monotonicMs - sentAt.monotonicMs > LEASE_TERM_MS) {
        this.#sent.delete(older);
      }
    }
  }

  /**
   * Returns when a record was sent, or undefined if it is not tracked.
   *
   * @param sequence - The record's sequence; undefined matches none.
   */
  get(sequence: number | undefined): LeaseTime | undefined {
    return sequence === undefined ? undefined : this.#sent.get(sequence);
  }

  /**
   * Removes a record that was read back or that was not appended.
   *
   * @param sequence - The record's sequence.
   */
  remove(sequence: number): void {
    this.#sent.delete(sequence);
  }
}
