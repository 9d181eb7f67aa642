/**
 * Exported functions take few positional arguments.
 * @module
 */
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

const MAX_PARAMETERS = 2;

/** Exported functions take at most two positional arguments. */
export class ParameterRule extends StyleRule {
  override readonly name = "parameters";

  override findViolations(file: StyleFile): readonly Violation[] {
    return file.source.getFunctions()
      .filter((node) => node.isExported())
      .filter((node) => node.getParameters().length > MAX_PARAMETERS)
      .map((node) => ({
        line: node.getStartLineNumber(),
        message: `"${node.getName()}" takes ${node.getParameters().length} ` +
          `arguments, expected at most ${MAX_PARAMETERS}`,
      }));
  }
}
