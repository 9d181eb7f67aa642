/**
 * The declarations that a file exports, found without types.
 * @module
 */
import { Node, type SourceFile } from "ts-morph";

/** A declaration that is exported. */
export interface ExportedDeclaration {
  readonly name: string;
  /** The statement that holds the declaration and its doc comment. */
  readonly node: Node;
}

/**
 * Returns the declarations with the keyword `export`, in their order.
 *
 * @example
 * ```ts
 * const names = listExported(source).map(({ name }) => name);
 * ```
 * @param source - The file.
 */
export function listExported(
  source: SourceFile,
): readonly ExportedDeclaration[] {
  return source.getStatements()
    .filter((node) => Node.isExportable(node) && node.hasExportKeyword())
    .flatMap((node) => listNames(node).map((name) => ({ name, node })));
}

function listNames(node: Node): readonly string[] {
  if (Node.isVariableStatement(node)) {
    return node.getDeclarations().map((declaration) => declaration.getName());
  }
  return Node.hasName(node) || Node.isFunctionDeclaration(node) ||
      Node.isClassDeclaration(node)
    ? [node.getName() ?? ""]
    : [];
}
