/**
 * The hash that stands for a prompt's prefix.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";

const BLOCK_CHARACTERS = 128;
/** Prompts of one application share their first blocks; later ones differ. */
const MAX_BLOCKS = 2;

/**
 * Returns the hash of a prompt's first whole blocks, as engines name them, or
 * "" when the prompt is shorter than one block.
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
