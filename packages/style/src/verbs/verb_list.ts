/**
 * The list of verbs, as the documents have it.
 * @module
 */
import { parseFirstColumn } from "../documents/first_column.ts";

/**
 * Returns the verbs in the first column of the table.
 *
 * @example
 * ```ts
 * import { readFileSync } from "node:fs";
 *
 * const verbs = parseVerbs(readFileSync("docs/VERBS.md", "utf8"));
 * ```
 * @param markdown - The text of the document.
 */
export function parseVerbs(markdown: string): readonly string[] {
  return parseFirstColumn(markdown)
    .filter((name) => /^[A-Za-z]+…?$/.test(name))
    .map((name) => name.replace("…", ""));
}
