/**
 * No file collects the exports of others.
 * @module
 */
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

const INDEX_NAMES = /(^|\/)(index|mod)\.[cm]?tsx?$/;

/** No file is named as an index, and none exports what another declares. */
export class IndexFileRule extends StyleRule {
  override readonly name = "index-file";

  override findViolations(file: StyleFile): readonly Violation[] {
    const named = INDEX_NAMES.test(file.path)
      ? [{ line: 1, message: "index files are not used" }]
      : [];
    const passedOn = file.source.getExportDeclarations()
      .filter((node) => node.hasModuleSpecifier())
      .map((node) => ({
        line: node.getStartLineNumber(),
        message: "exports what another file declares",
      }));
    return [...named, ...passedOn];
  }
}
