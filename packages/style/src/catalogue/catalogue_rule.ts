/**
 * Events, metrics and errors are described in the documents, and the documents
 * describe nothing else.
 * @module
 */
import {
  type StyleFile,
  StyleRule,
  type Violation,
} from "../rules/style_rule.ts";
import { parseFirstColumn } from "../documents/first_column.ts";
import { listNamesInCode } from "./named_in_code.ts";

/** The file at which names are reported that no code has. */
export const REPORT_PATH = "packages/common/src/errors/errors.ts";

/** Compares the names in the code with those in the documents. */
export class CatalogueRule extends StyleRule {
  override readonly name = "catalogue";
  readonly #documented: ReadonlySet<string>;
  readonly #inCode: ReadonlySet<string>;

  /**
   * @param documents - The texts of the catalogues, names in the first column.
   * @param files - All files.
   */
  constructor(documents: readonly string[], files: readonly StyleFile[]) {
    super();
    this.#documented = new Set(documents.flatMap(parseFirstColumn));
    this.#inCode = new Set(
      files.flatMap(listNamesInCode).map(({ name }) => name),
    );
  }

  override findViolations(file: StyleFile): readonly Violation[] {
    const missing = listNamesInCode(file)
      .filter(({ name }) => !this.#documented.has(name))
      .map(({ name, line }) => ({
        line,
        message: `"${name}" stands in no catalogue of docs/reference`,
      }));
    return file.path === REPORT_PATH
      ? [...missing, ...this.#findUnused()]
      : missing;
  }

  #findUnused(): readonly Violation[] {
    return [...this.#documented]
      .filter((name) => !this.#inCode.has(name))
      .map((name) => ({
        line: 1,
        message: `docs/reference describes "${name}", which no code has`,
      }));
  }
}
