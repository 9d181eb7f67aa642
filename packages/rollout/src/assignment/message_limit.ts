/**
 * Limits the amount of text in one message between hosts.
 * @module
 */

/** The most characters of text in one message, well under the links' limit. */
export const MAX_MESSAGE_CHARS = 262_144;

/**
 * Returns the first items that fit into a message, but at least one, if any.
 *
 * @example
 * ```ts
 * const prompts = takeWithinMessageLimit(["a", "bc"], (prompt) => prompt.length);
 * ```
 * @param items - The items, in the order in which they are sent.
 * @param measureChars - Returns the number of characters in an item.
 */
export function takeWithinMessageLimit<T>(
  items: Iterable<T>,
  measureChars: (item: T) => number,
): readonly T[] {
  const selected: T[] = [];
  let chars = 0;
  for (const item of items) {
    chars += measureChars(item);
    if (selected.length > 0 && chars > MAX_MESSAGE_CHARS) {
      break;
    }
    selected.push(item);
  }
  return selected;
}
