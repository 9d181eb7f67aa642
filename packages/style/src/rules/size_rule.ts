/**
 * Files and functions stay small.
 * @module
 */
import { type Node, SyntaxKind } from "ts-morph";
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

const MAX_FILE_LINES = 250;
const MAX_FUNCTION_LINES = 40;
const FUNCTION_KINDS: readonly SyntaxKind[] = [
  SyntaxKind.FunctionDeclaration,
  SyntaxKind.MethodDeclaration,
  SyntaxKind.Constructor,
  SyntaxKind.GetAccessor,
];

/** Files and functions stay small; a test file may hold long tables. */
export class SizeRule extends StyleRule {
  override readonly name = "size";

  override findViolations(file: StyleFile): readonly Violation[] {
    const lines = file.source.getEndLineNumber() - 1;
    const long = lines > MAX_FILE_LINES
      ? [{
        line: 1,
        message: `the file has ${lines} lines, at most ${MAX_FILE_LINES}`,
      }]
      : [];
    return file.isTest ? long : [...long, ...findLongFunctions(file)];
  }
}

function findLongFunctions({ source }: StyleFile): readonly Violation[] {
  return source.getDescendants()
    .filter((node) => FUNCTION_KINDS.includes(node.getKind()))
    .filter((node) => countLines(node) > MAX_FUNCTION_LINES)
    .map((node) => ({
      line: node.getStartLineNumber(),
      message: `a function of ${countLines(node)} lines, ` +
        `at most ${MAX_FUNCTION_LINES}`,
    }));
}

function countLines(node: Node): number {
  return node.getEndLineNumber() - node.getStartLineNumber() + 1;
}
