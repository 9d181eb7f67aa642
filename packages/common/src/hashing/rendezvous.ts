/**
 * Rendezvous (highest random weight) hashing. All hosts have to compute the
 * same owners of a key, so the hash functions must not differ between hosts.
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Returns the 32-bit FNV-1a hash of a text's UTF-16 code units.
 *
 * @example
 * ```ts
 * const hash = hashText("engine-7");
 * ```
 * @param text - The text to hash.
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Combines two hashes into one well-mixed 32-bit hash; their order matters.
 *
 * @example
 * ```ts
 * const score = hashPair(hashText(key), hashText(host));
 * ```
 * @param a - The first hash.
 * @param b - The second hash.
 */
export function hashPair(a: number, b: number): number {
  let hash = Math.imul(a ^ (a >>> 16), 0x85ebca6b) ^ b;
  hash = Math.imul(hash ^ (hash >>> 15), 0xc2b2ae35);
  hash = Math.imul(hash ^ (hash >>> 13), 0x27d4eb2f);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the owners of a key in descending order of their score. When a
 * member leaves, only the keys that it owned move.
 *
 * @example
 * ```ts
 * const [owner] = listOwners("key-1", { members: ["a", "b", "c"], count: 1 });
 * ```
 * @param key - The key to place.
 * @param options - The members and the number of owners to return.
 */
export function listOwners(
  key: string,
  options: { readonly members: readonly string[]; readonly count: number },
): readonly string[] {
  const keyHash = hashText(key);
  return options.members
    .map((member) => ({ member, score: hashPair(keyHash, hashText(member)) }))
    .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
    .slice(0, options.count)
    .map(({ member }) => member);
}
