/**
 * The names that operators meet: events of the log, metrics and errors.
 * @module
 */
import { Node, type SourceFile, SyntaxKind } from "ts-morph";
import { listExported } from "../rules/exported_declarations.ts";
import type { StyleFile } from "../rules/style_rule.ts";

const LOG_METHODS = ["info", "warn", "error"];
const METRIC_NAME = /^[a-z]+(_[a-z]+)+$/;
const METRICS_PATH = /^packages\/(node|edge)\/src\/.*_metrics\.ts$/;
const ERRORS_PATH = "packages/common/src/errors/errors.ts";

/** A name and the line on which it stands. */
export interface NameInCode {
  readonly name: string;
  readonly line: number;
}

/**
 * Returns the names in a file that operators may meet.
 *
 * @example
 * ```ts
 * const names = listNamesInCode(file);
 * ```
 * @param file - The file.
 */
export function listNamesInCode(file: StyleFile): readonly NameInCode[] {
  if (file.isTest) {
    return [];
  }
  if (file.path === ERRORS_PATH) {
    return listErrors(file.source);
  }
  const metrics = METRICS_PATH.test(file.path) ? listMetrics(file.source) : [];
  return [...listEvents(file.source), ...metrics];
}

function listErrors(source: SourceFile): readonly NameInCode[] {
  return listExported(source)
    .filter(({ name, node }) =>
      name.endsWith("Error") && Node.isVariableStatement(node)
    )
    .map(({ name, node }) => ({ name, line: node.getStartLineNumber() }));
}

function listEvents(source: SourceFile): readonly NameInCode[] {
  return source.getDescendantsOfKind(SyntaxKind.CallExpression)
    .filter((call) => isLogCall(call.getExpression()))
    .flatMap((call) => {
      const [event] = call.getArguments();
      return Node.isStringLiteral(event)
        ? [{ name: event.getLiteralValue(), line: event.getStartLineNumber() }]
        : [];
    });
}

function isLogCall(expression: Node): boolean {
  return Node.isPropertyAccessExpression(expression) &&
    LOG_METHODS.includes(expression.getName()) &&
    /logger$/i.test(expression.getExpression().getText());
}

function listMetrics(source: SourceFile): readonly NameInCode[] {
  return source.getDescendantsOfKind(SyntaxKind.StringLiteral)
    .filter((literal) => METRIC_NAME.test(literal.getLiteralValue()))
    .map((literal) => ({
      name: literal.getLiteralValue(),
      line: literal.getStartLineNumber(),
    }));
}
