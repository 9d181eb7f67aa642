/**
 * Identifies keys by their digests, so that no key is stored or logged.
 * @module
 */
import { createHash } from "node:crypto";

/** The length of a digest in logs, in characters: enough to tell the keys of a configuration apart. */
const SHORT_LENGTH = 12;

/**
 * Returns the digest of a key.
 *
 * @example
 * ```ts
 * const digest = hashKey("akn2ftimaj3nr26tta82");
 * ```
 * @param key - The key.
 */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/**
 * Returns the beginning of a digest, for logs.
 *
 * @example
 * ```ts
 * const text = formatDigest(hashKey("akn2ftimaj3nr26tta82"));
 * ```
 * @param digest - The digest of a key.
 */
export function formatDigest(digest: string): string {
  return digest.slice(0, SHORT_LENGTH);
}
