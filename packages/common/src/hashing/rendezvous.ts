/**
 * Rendezvous hashing.
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Returns a 32-bit hash of a text.
 *
 * @example
 * ```ts
 * const hash = hashText("engine-7");
 * ```
 * @param text - The text.
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Returns a well-mixed 32-bit hash of two hashes; their order matters.
 *
 * @example
 * ```ts
 * const score = hashPair(hashText(key), hashText(host));
 * ```
 * @param a - One hash.
 * @param b - The other hash.
 */
export function hashPair(a: number, b: number): number {
  let hash = Math.imul(a ^ (a >>> 16), 0x85ebca6b) ^ b;
  hash = Math.imul(hash ^ (hash >>> 15), 0xc2b2ae35);
  hash = Math.imul(hash ^ (hash >>> 13), 0x27d4eb2f);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the owners of a key, the first owner first. When a member leaves,
 * only the keys that it owned move.
 *
 * @example
 * ```ts
 * const [home] = listOwners("key-1", { members: ["a", "b", "c"], count: 1 });
 * ```
 * @param key - The key.
 * @param options - The members and how many owners are wanted.
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
