/**
 * Examples in doc comments fit the types of what they use.
 * @module
 */
import {
  type DiagnosticMessageChain,
  type Project,
  type SourceFile,
  SyntaxKind,
} from "ts-morph";
import {
  type StyleFile,
  StyleRule,
  type Violation,
} from "../rules/style_rule.ts";
import { listExamples } from "./example_text.ts";
import { ExportIndex } from "./export_index.ts";
import { type FreeName, listFreeNames } from "./free_names.ts";

/** What the examples are checked in. */
export interface ExampleTypeOptions {
  /** Finds the modules of the workspace by their public paths. */
  readonly project: Project;
  /** The root of the workspace in the project's file system. */
  readonly root: string;
  readonly files: readonly StyleFile[];
}

interface CheckedExample {
  readonly line: number;
  readonly source: SourceFile;
}

/**
 * Examples in doc comments fit the types of what they use. What an example
 * calls, constructs or names as a type is imported from the module that exports
 * it; values that it takes for granted may be of any type.
 */
export class ExampleTypeRule extends StyleRule {
  override readonly name = "example-type";
  readonly #options: ExampleTypeOptions;
  readonly #index: ExportIndex;
  #examples: ReadonlyMap<string, readonly CheckedExample[]> | undefined;

  constructor(options: ExampleTypeOptions) {
    super();
    this.#options = options;
    this.#index = new ExportIndex(options.files);
  }

  override findViolations(file: StyleFile): readonly Violation[] {
    this.#examples ??= this.#createExamples();
    return (this.#examples.get(file.path) ?? []).flatMap(findFaults);
  }

  /** All examples come before the first check, which they share a program in. */
  #createExamples(): ReadonlyMap<string, readonly CheckedExample[]> {
    const sources = this.#options.files.filter(({ isTest }) => !isTest);
    return new Map(
      sources.map((file) => [file.path, this.#createExamplesOf(file)]),
    );
  }

  #createExamplesOf(file: StyleFile): readonly CheckedExample[] {
    return file.source.getDescendantsOfKind(SyntaxKind.JSDoc).flatMap((doc) =>
      listExamples(doc).map((code, index) => {
        const line = doc.getStartLineNumber();
        const name = `${file.path.replace(/\.ts$/, "")}_${line}_${index}`;
        return { line, source: this.#createSource(name, code, file.path) };
      })
    );
  }

  #createSource(name: string, code: string, from: string): SourceFile {
    const { project, root } = this.#options;
    const path = `${root}/${name}_example.ts`;
    const source = project.createSourceFile(path, code, { overwrite: true });
    const head = listFreeNames(source).flatMap((free) =>
      this.#formatDeclaration(free, from)
    );
    source.replaceWithText([...head, "export {};", code].join("\n"));
    return source;
  }

  #formatDeclaration(free: FreeName, from: string): readonly string[] {
    const { name, isPlainValue } = free;
    const module = this.#index.getModule(name, from);
    if (module !== undefined) {
      return [`import { ${name} } from "${module}";`];
    }
    const isMissing = isPlainValue && !(name in globalThis);
    return isMissing ? [`declare let ${name}: any;`] : [];
  }
}

function findFaults(example: CheckedExample): readonly Violation[] {
  return example.source.getPreEmitDiagnostics().map((diagnostic) => ({
    line: example.line,
    message: `the example doesn't compile: ${
      formatMessage(diagnostic.getMessageText())
    }`,
  }));
}

function formatMessage(text: string | DiagnosticMessageChain): string {
  if (typeof text === "string") {
    return text;
  }
  const next = text.getNext() ?? [];
  return [text.getMessageText(), ...next.map(formatMessage)].join(": ");
}
