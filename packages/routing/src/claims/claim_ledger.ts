/**
 * Ownership of idempotency keys, determined by the record order of one stream
 * of the log.
 * @module
 */
import type { ClaimStructure } from "./claim_structure.ts";
import { PackedKeys } from "./packed_keys.ts";

/** Time for which a key is retained; the log must retain its records for longer. */
export const CLAIM_LIFETIME_MS = 24 * 3_600_000;

/** Number of newest keys retained with their owner; older keys are retained without it. */
const MAX_OWNERS = 32_768;

interface OwnedKey {
  /** Undefined if the key is known to be claimed but its owner is not retained. */
  readonly claim?: ClaimStructure;
  readonly timeMs: number;
}

/** A record of a claim stream. */
export interface ClaimRecord {
  readonly offset: number;
  /** Wall-clock time that the log assigned to the record. */
  readonly timeMs: number;
  readonly claims: readonly ClaimStructure[];
}

/**
 * Owners of all keys after the records applied so far. The state depends only
 * on the records and their times. Readers that started at different records
 * may differ in which owners they retain, but no reader treats a key as free
 * that another treats as owned. A repeated claim renews the lifetime of a key
 * whose owner is not retained.
 */
export class ClaimLedger {
  readonly #owners = new Map<string, OwnedKey>();
  readonly #packed = new PackedKeys();
  readonly #maxOwners: number;
  #nextOffset = 0;

  constructor(maxOwners: number = MAX_OWNERS) {
    this.#maxOwners = maxOwners;
  }

  /** Returns the offset of the next record to read. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Returns the number of retained keys. */
  get size(): number {
    return this.#owners.size + this.#packed.size;
  }

  /**
   * Applies a record. Records that were applied before have no effect.
   *
   * @param record - The record.
   */
  apply(record: ClaimRecord): void {
    if (record.offset < this.#nextOffset) {
      return;
    }
    this.#nextOffset = record.offset + 1;
    this.#prune(record.timeMs);
    record.claims.forEach((claim) => this.#applyClaim(claim, record.timeMs));
    if (this.#owners.size > this.#maxOwners) {
      this.#clearOldestOwners();
    }
  }

  /**
   * Skips records that the log no longer retains.
   *
   * @param firstOffset - The oldest retained offset.
   */
  setFirstOffset(firstOffset: number): void {
    this.#nextOffset = Math.max(this.#nextOffset, firstOffset);
  }

  /**
   * Returns the claim that owns a key, if it is retained.
   *
   * @param keyHash - The hash of the key.
   */
  getOwner(keyHash: string): ClaimStructure | undefined {
    return this.#owners.get(keyHash)?.claim;
  }

  #applyClaim(claim: ClaimStructure, timeMs: number): void {
    const { keyHash, supersedes } = claim;
    const owned = this.#owners.get(keyHash);
    const isFree = owned === undefined
      ? !this.#packed.has(keyHash)
      : owned.claim !== undefined && owned.claim.callId === supersedes;
    if (isFree) {
      this.#owners.delete(keyHash);
      this.#owners.set(keyHash, { claim, timeMs });
    } else if (owned?.claim === undefined) {
      this.#owners.delete(keyHash);
      this.#owners.set(keyHash, { timeMs });
    }
  }

  #clearOldestOwners(): void {
    const keyHashes: string[] = [];
    let newestMs = -Infinity;
    for (const [keyHash, { timeMs }] of this.#owners) {
      if (keyHashes.length >= this.#maxOwners / 2) {
        break;
      }
      keyHashes.push(keyHash);
      newestMs = Math.max(newestMs, timeMs);
    }
    keyHashes.forEach((keyHash) => this.#owners.delete(keyHash));
    this.#packed.add(keyHashes, newestMs);
  }

  /** Relies on the insertion order of owners, which is the order of their records. */
  #prune(timeMs: number): void {
    this.#packed.prune(timeMs - CLAIM_LIFETIME_MS);
    for (const [keyHash, owner] of this.#owners) {
      if (owner.timeMs + CLAIM_LIFETIME_MS > timeMs) {
        return;
      }
      this.#owners.delete(keyHash);
    }
  }
}
