/**
 * A file exports one class at most and is named after it.
 * @module
 */
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

/** A file exports one class at most and is named after it. */
export class ClassFileRule extends StyleRule {
  override readonly name = "class-file";

  override findViolations(file: StyleFile): readonly Violation[] {
    const classes = file.source.getClasses().filter((node) =>
      node.isExported()
    );
    const expected = file.path.split("/").at(-1)?.replace(/\.ts$/, "");
    return classes
      .filter((node, index) =>
        index > 0 || toSnakeCase(node.getName() ?? "") !== expected
      )
      .map((node) => ({
        line: node.getStartLineNumber(),
        message: `"${node.getName()}" belongs into a file of its own, ` +
          `"${toSnakeCase(node.getName() ?? "")}.ts"`,
      }));
  }
}

function toSnakeCase(name: string): string {
  return name.replace(/(?!^)[A-Z]/g, "_$&").toLowerCase();
}
