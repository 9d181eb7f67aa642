/**
 * The examples in doc comments.
 * @module
 */
import type { JSDoc } from "ts-morph";

/**
 * Returns the code of the examples in a doc comment.
 *
 * @example
 * ```ts
 * const codes = node.getJsDocs().flatMap(listExamples);
 * ```
 * @param doc - The doc comment.
 */
export function listExamples(doc: JSDoc): readonly string[] {
  const text = doc.getText().replace(/^[ \t]*\* ?/gm, "");
  return [...text.matchAll(/@example\s+```ts\n([\s\S]*?)```/g)]
    .map(([, code]) => code ?? "")
    .filter((code) => code.trim() !== "");
}
