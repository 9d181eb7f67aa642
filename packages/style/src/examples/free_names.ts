/**
 * The names that code uses without declaring them.
 * @module
 */
import { type Identifier, Node, type SourceFile, SyntaxKind } from "ts-morph";

/** A name that code uses without declaring it. */
export interface FreeName {
  readonly name: string;
  /** Whether it stands for a value that is neither called nor constructed. */
  readonly isPlainValue: boolean;
}

/**
 * Lists the names that a file uses without declaring them, each once.
 *
 * @example
 * ```ts
 * const names = listFreeNames(source).map(({ name }) => name);
 * ```
 * @param source - The file.
 */
export function listFreeNames(source: SourceFile): readonly FreeName[] {
  const identifiers = source.getDescendantsOfKind(SyntaxKind.Identifier);
  const declared = new Set(
    identifiers.filter(isDeclaration).map((node) => node.getText()),
  );
  const free = new Map<string, FreeName>();
  for (const node of identifiers.filter(isReference)) {
    const name = node.getText();
    if (!declared.has(name)) {
      const isPlainValue = (free.get(name)?.isPlainValue ?? true) &&
        isPlainUse(node);
      free.set(name, { name, isPlainValue });
    }
  }
  return [...free.values()];
}

function isDeclaration(node: Identifier): boolean {
  const parent = node.getParent();
  return (Node.isVariableDeclaration(parent) ||
    Node.isParameterDeclaration(parent) || Node.isBindingElement(parent) ||
    Node.isFunctionDeclaration(parent) || Node.isClassDeclaration(parent) ||
    Node.isImportSpecifier(parent)) &&
    parent.getNameNode() === node;
}

function isReference(node: Identifier): boolean {
  const parent = node.getParent();
  if (Node.isBindingElement(parent)) {
    return parent.getInitializer() === node;
  }
  if (Node.isShorthandPropertyAssignment(parent)) {
    return true;
  }
  const isMember = (Node.isPropertyAccessExpression(parent) ||
    Node.isPropertyAssignment(parent) || Node.isMethodDeclaration(parent) ||
    Node.isPropertyDeclaration(parent) || Node.isPropertySignature(parent)) &&
    parent.getNameNode() === node;
  return !isMember && !isDeclaration(node);
}

function isPlainUse(node: Identifier): boolean {
  const parent = node.getParent();
  const isCallee =
    (Node.isCallExpression(parent) || Node.isNewExpression(parent)) &&
    parent.getExpression() === node;
  const isType = Node.isTypeReference(parent) ||
    Node.isExpressionWithTypeArguments(parent);
  return !isCallee && !isType;
}
