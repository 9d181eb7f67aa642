/**
 * No file has a default export.
 * @module
 */
import { Node } from "ts-morph";
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

/** No file has a default export. */
export class DefaultExportRule extends StyleRule {
  override readonly name = "default-export";

  override findViolations(file: StyleFile): readonly Violation[] {
    return file.source.getStatements().filter(isDefaultExport)
      .map((node) => ({
        line: node.getStartLineNumber(),
        message: "default exports are not used",
      }));
  }
}

function isDefaultExport(node: Node): boolean {
  if (Node.isExportDeclaration(node)) {
    return node.getNamedExports().some((named) =>
      (named.getAliasNode()?.getText() ?? named.getName()) === "default"
    );
  }
  return Node.isExportAssignment(node) ||
    (Node.isExportable(node) && node.hasDefaultKeyword());
}
