/**
 * One partition of the stand-in of the platform's store.
 * @module
 */
import { Buffer } from "node:buffer";

const LENGTH_BYTES = 4;

/** A record of a keyed topic. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer;
  readonly offset: number;
}

/** One partition: its records as they were appended. */
export class StorePartition {
  readonly #frames: Buffer[] = [];
  readonly #newest = new Map<string, KeyedRecord>();
  readonly #isKeyed: boolean;
  #firstOffset = 0;
  #waiters: (() => void)[] = [];

  constructor(isKeyed: boolean) {
    this.#isKeyed = isKeyed;
  }

  /** The offset after the last record. */
  get endOffset(): number {
    return this.#firstOffset + this.#frames.length;
  }

  /** The offset of the first record that is kept. */
  get firstOffset(): number {
    return this.#firstOffset;
  }

  /**
   * Appends the records of a request's body and returns the offset of the first.
   *
   * @param body - Lengths and contents in turn.
   */
  append(body: Buffer): number {
    const first = this.endOffset;
    for (let at = 0; at + LENGTH_BYTES <= body.length;) {
      const end = at + LENGTH_BYTES + body.readUInt32BE(at);
      this.#addFrame(body.subarray(at, end));
      at = end;
    }
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((resolve) => resolve());
    return first;
  }

  /**
   * Returns all records from an offset on, as they were appended.
   *
   * @param from - The offset.
   */
  readFrom(from: number): Buffer {
    return Buffer.concat(this.#frames.slice(from - this.#firstOffset));
  }

  /** Returns the newest record of each key. */
  listNewest(): readonly KeyedRecord[] {
    return [...this.#newest.values()].filter(({ value }) => value.length > 0);
  }

  /** Deletes all records; the newest of each key stay. */
  clear(): void {
    this.#firstOffset = this.endOffset;
    this.#frames.length = 0;
  }

  /** Resolves at the next append. */
  waitAppend(): Promise<void> {
    return new Promise((resolve) => this.#waiters.push(resolve));
  }

  #addFrame(frame: Buffer): void {
    const offset = this.endOffset;
    this.#frames.push(frame);
    if (this.#isKeyed) {
      const keyEnd = LENGTH_BYTES + 1 + (frame[LENGTH_BYTES] ?? 0);
      const key = frame.toString("utf8", LENGTH_BYTES + 1, keyEnd);
      this.#newest.set(key, { key, value: frame.subarray(keyEnd), offset });
    }
  }
}
