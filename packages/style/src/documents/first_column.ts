/**
 * Tables of the documents.
 * @module
 */

/**
 * Returns the names in code marks in the first column of all tables.
 *
 * @example
 * ```ts
 * import { readFileSync } from "node:fs";
 *
 * const names = parseFirstColumn(readFileSync("docs/VERBS.md", "utf8"));
 * ```
 * @param markdown - The text of the document.
 */
export function parseFirstColumn(markdown: string): readonly string[] {
  return markdown.split("\n")
    .filter((line) => line.startsWith("|"))
    .map((line) => line.split("|")[1] ?? "")
    .flatMap((cell) => [...cell.matchAll(/`([^`]+)`/g)])
    .map(([, name]) => name ?? "");
}
