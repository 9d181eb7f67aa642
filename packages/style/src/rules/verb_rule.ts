/**
 * Functions and methods begin with a verb of the list.
 * @module
 */
import {
  type FunctionDeclaration,
  type MethodDeclaration,
  type MethodSignature,
  Node,
  SyntaxKind,
} from "ts-morph";
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

type NamedFunction = FunctionDeclaration | MethodDeclaration | MethodSignature;

/** Functions and methods begin with a verb of the list. */
export class VerbRule extends StyleRule {
  override readonly name = "verb";
  readonly #verbs: readonly string[];

  constructor(verbs: readonly string[]) {
    super();
    this.#verbs = verbs;
  }

  override findViolations(file: StyleFile): readonly Violation[] {
    if (file.isTest) {
      return [];
    }
    return listFunctions(file)
      .filter((node) => !isOverride(node))
      .filter((node) => !this.#hasVerb(getPlainName(node)))
      .map((node) => ({
        line: node.getStartLineNumber(),
        message: `"${getPlainName(node)}" begins with no verb of the list`,
      }));
  }

  #hasVerb(name: string): boolean {
    return this.#verbs.some((verb) =>
      name === verb ||
      (name.startsWith(verb) && /^[A-Z0-9]/.test(name.slice(verb.length)))
    );
  }
}

function listFunctions({ source }: StyleFile): readonly NamedFunction[] {
  return [
    ...source.getDescendantsOfKind(SyntaxKind.FunctionDeclaration),
    ...source.getDescendantsOfKind(SyntaxKind.MethodDeclaration),
    ...source.getDescendantsOfKind(SyntaxKind.MethodSignature),
  ];
}

/** Names of overridden methods, and of methods of object literals, are set elsewhere. */
function isOverride(node: NamedFunction): boolean {
  return Node.isMethodDeclaration(node) &&
    (Node.isObjectLiteralExpression(node.getParent()) ||
      node.hasOverrideKeyword());
}

function getPlainName(node: NamedFunction): string {
  return (node.getName() ?? "").replace(/^#/, "");
}
