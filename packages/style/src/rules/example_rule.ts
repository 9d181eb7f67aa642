/**
 * Exported functions show an example that parses.
 * @module
 */
import { type FunctionDeclaration, ts } from "ts-morph";
import { listExamples } from "../examples/example_text.ts";
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

/** Exported top-level functions show an example that parses. */
export class ExampleRule extends StyleRule {
  override readonly name = "example";

  override findViolations(file: StyleFile): readonly Violation[] {
    if (file.isTest) {
      return [];
    }
    return file.source.getFunctions()
      .filter((node) => node.isExported())
      .flatMap((node) => findFault(node));
  }
}

function findFault(node: FunctionDeclaration): readonly Violation[] {
  const examples = node.getJsDocs().flatMap(listExamples);
  const line = node.getStartLineNumber();
  if (examples.length === 0) {
    return [{ line, message: `"${node.getName()}" has no example` }];
  }
  return examples.filter((example) => !canParse(example)).map(() => ({
    line,
    message: `the example of "${node.getName()}" has a syntax error`,
  }));
}

function canParse(code: string): boolean {
  const { diagnostics } = ts.transpileModule(code, {
    reportDiagnostics: true,
    compilerOptions: {
      module: ts.ModuleKind.ESNext,
      target: ts.ScriptTarget.ESNext,
    },
  });
  return (diagnostics ?? []).length === 0;
}
