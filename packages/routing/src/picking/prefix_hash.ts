/**
 * Computes the hash that identifies a prompt's prefix in caches.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";

const BLOCK_CHARACTERS = 128;
/** Prompts of one application share their first blocks; later blocks differ. */
const MAX_BLOCKS = 2;

/**
 * Returns the hash of a prompt's first complete blocks, as engines publish it in
 * cache events, or "" if the prompt is shorter than one block.
 *
 * @example
 * ```ts
 * const prefixHash = hashPrefix(request.prompt);
 * ```
 * @param prompt - The prompt.
 */
export function hashPrefix(prompt: string): string {
  const blocks = Math.min(
    MAX_BLOCKS,
    Math.floor(prompt.length / BLOCK_CHARACTERS),
  );
  return blocks === 0
    ? ""
    : hashText(prompt.slice(0, blocks * BLOCK_CHARACTERS)).toString(16);
}
