/**
 * One partition of the store stand-in.
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

/** One partition: an append-only sequence of records. */
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

  /** The offset of the first retained record. */
  get firstOffset(): number {
    return this.#firstOffset;
  }

  /**
   * Appends the records of a request body and returns the offset of the first one.
   *
   * @param body - The records, each preceded by its length.
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
   * Returns all records from an offset on, each preceded by its length.
   *
   * @param from - The offset of the first record.
   */
  readFrom(from: number): Buffer {
    return Buffer.concat(this.#frames.slice(from - this.#firstOffset));
  }

  /** Returns the newest record of each key, without keys whose newest value is empty (deleted). */
  listNewest(): readonly KeyedRecord[] {
    return [...this.#newest.values()].filter(({ value }) => value.length > 0);
  }

  /** Deletes all records, but retains the newest one of each key for {@link listNewest}. */
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
