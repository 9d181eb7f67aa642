/**
 * Only classes of the error list are thrown.
 * @module
 */
import { type Expression, Node, SyntaxKind } from "ts-morph";
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

const BUILT_IN =
  /^(Error|(Aggregate|Eval|Range|Reference|Syntax|Type|URI)Error)$/;

/** What is thrown is a class of the error list, or was made or caught elsewhere. */
export class TypedErrorRule extends StyleRule {
  override readonly name = "typed-error";
  readonly #classes: ReadonlySet<string>;

  constructor(classes: readonly string[]) {
    super();
    this.#classes = new Set(classes);
  }

  override findViolations(file: StyleFile): readonly Violation[] {
    if (file.isTest) {
      return [];
    }
    return [...this.#findThrows(file), ...findBuiltIns(file)];
  }

  #findThrows({ source }: StyleFile): readonly Violation[] {
    return source.getDescendantsOfKind(SyntaxKind.ThrowStatement)
      .filter((node) => !this.#isTyped(node.getExpression()))
      .map((node) => ({
        line: node.getStartLineNumber(),
        message: `throws "${node.getExpression().getText().slice(0, 40)}", ` +
          "expected a class of errors.ts",
      }));
  }

  #isTyped(thrown: Expression): boolean {
    if (Node.isNewExpression(thrown)) {
      const created = thrown.getExpression();
      return !Node.isIdentifier(created) ||
        this.#classes.has(created.getText());
    }
    if (Node.isConditionalExpression(thrown)) {
      return this.#isTyped(thrown.getWhenTrue()) &&
        this.#isTyped(thrown.getWhenFalse());
    }
    return Node.isIdentifier(thrown) || Node.isCallExpression(thrown) ||
      Node.isPropertyAccessExpression(thrown) ||
      Node.isAwaitExpression(thrown);
  }
}

/** Finds built-in errors that are made without being thrown, too. */
function findBuiltIns({ source }: StyleFile): readonly Violation[] {
  return source.getDescendantsOfKind(SyntaxKind.NewExpression)
    .filter((node) => !Node.isThrowStatement(node.getParent()))
    .filter((node) => BUILT_IN.test(node.getExpression().getText()))
    .map((node) => ({
      line: node.getStartLineNumber(),
      message: `creates a "${node.getExpression().getText()}"`,
    }));
}
