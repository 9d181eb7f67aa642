/**
 * Compact set of claimed keys whose owners are not retained.
 * @module
 */

/** Number of trailing hexadecimal digits retained of a hash; the leading ones select the stream. */
const PACKED_DIGITS = 16;
const MAX_BLOCK_KEYS = 131_072;

interface PackedBlock {
  /** Sorted in ascending order. */
  readonly keys: BigUint64Array;
  /** Time at which the newest of the keys was claimed. */
  readonly newestMs: number;
}

/**
 * Compact set of claimed keys whose owners are not retained, with eight bytes
 * per key. Keys are evicted by block, none before the end of its lifetime.
 */
export class PackedKeys {
  #blocks: readonly PackedBlock[] = [];

  /** Returns the number of keys. */
  get size(): number {
    return this.#blocks.reduce((sum, { keys }) => sum + keys.length, 0);
  }

  /**
   * Adds keys. They must be newer than all keys added before.
   *
   * @param keyHashes - The hashes of the keys, in hexadecimal.
   * @param newestMs - The time at which the newest of them was claimed.
   */
  add(keyHashes: readonly string[], newestMs: number): void {
    const added = keyHashes.map(toPacked);
    const last = this.#blocks.at(-1);
    const isMerged = last !== undefined &&
      last.keys.length + added.length <= MAX_BLOCK_KEYS;
    const keys = new BigUint64Array(
      added.length + (isMerged ? last.keys.length : 0),
    );
    keys.set(added);
    if (isMerged) {
      keys.set(last.keys, added.length);
    }
    keys.sort();
    const remaining = isMerged ? this.#blocks.slice(0, -1) : this.#blocks;
    this.#blocks = [...remaining, { keys, newestMs }];
  }

  /**
   * Returns whether a key was claimed. With 5 million keys the probability of a
   * false positive, by a collision of packed forms, is about 1 in 10^12.
   *
   * @param keyHash - The hash of the key.
   */
  has(keyHash: string): boolean {
    const packed = toPacked(keyHash);
    return this.#blocks.some(({ keys }) => hasKey(keys, packed));
  }

  /**
   * Evicts the blocks whose newest key was claimed at or before a time.
   *
   * @param beforeMs - The time.
   */
  prune(beforeMs: number): void {
    if ((this.#blocks[0]?.newestMs ?? Infinity) <= beforeMs) {
      this.#blocks = this.#blocks.filter(({ newestMs }) => newestMs > beforeMs);
    }
  }
}

function toPacked(keyHash: string): bigint {
  return BigInt(`0x${keyHash.slice(-PACKED_DIGITS)}`);
}

function hasKey(keys: BigUint64Array, key: bigint): boolean {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((keys[middle] ?? 0n) < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return keys[low] === key;
}
