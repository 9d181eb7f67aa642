/**
 * Runs all rules over all sources of the workspace.
 * @module
 */
import { throwIfUndefined } from "@briarhill/common/errors/throw_if";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { Project, ts } from "ts-morph";
import { CatalogueRule } from "../catalogue/catalogue_rule.ts";
import { ExampleTypeRule } from "../examples/example_type_rule.ts";
import { BannerRule } from "../rules/banner_rule.ts";
import { ClassFileRule } from "../rules/class_file_rule.ts";
import { DefaultExportRule } from "../rules/default_export_rule.ts";
import { DocCommentRule } from "../rules/doc_comment_rule.ts";
import { ExampleRule } from "../rules/example_rule.ts";
import { listExported } from "../rules/exported_declarations.ts";
import { IndexFileRule } from "../rules/index_file_rule.ts";
import { ParameterRule } from "../rules/parameter_rule.ts";
import { SizeRule } from "../rules/size_rule.ts";
import { PlatformNameRule } from "../rules/platform_name_rule.ts";
import type { StyleFile, StyleRule } from "../rules/style_rule.ts";
import { TestMirrorRule } from "../rules/test_mirror_rule.ts";
import { TypedErrorRule } from "../rules/typed_error_rule.ts";
import { VerbRule } from "../rules/verb_rule.ts";
import { parseVerbs } from "../verbs/verb_list.ts";

const SOURCE_PATH = /^[^/]+\/(src|test)\/.*\.ts$/;
const ERRORS_PATH = "packages/common/src/errors/errors.ts";
const VERBS_PATH = "docs/VERBS.md";
const CATALOGUES_PATH = "docs/reference";

/** A violation and where it is. */
export interface StyleReport {
  readonly rule: string;
  readonly path: string;
  readonly line: number;
  readonly message: string;
}

/** The sources of a workspace and the rules that they have to keep. */
export class StyleChecker {
  readonly #files: readonly StyleFile[];
  readonly #rules: readonly StyleRule[];

  constructor(root: string) {
    this.#files = readFiles(root);
    this.#rules = createRules(root, this.#files);
  }

  /** Returns how many files are checked. */
  countFiles(): number {
    return this.#files.length;
  }

  /** Returns all violations, in the order of the files. */
  findViolations(): readonly StyleReport[] {
    return this.#files.flatMap((file) =>
      this.#rules.flatMap((rule) =>
        rule.findViolations(file).map((violation) => ({
          rule: rule.name,
          path: file.path,
          ...violation,
        }))
      )
    );
  }
}

function readFiles(root: string): readonly StyleFile[] {
  const project = new Project({
    skipAddingFilesFromTsConfig: true,
    skipFileDependencyResolution: true,
  });
  const packages = join(root, "packages");
  return readdirSync(packages, { recursive: true, encoding: "utf8" })
    .filter((path) => SOURCE_PATH.test(path))
    .sort()
    .map((path) => ({
      path: `packages/${path}`,
      source: project.addSourceFileAtPath(join(packages, path)),
      isTest: /^[^/]+\/test\//.test(path),
    }));
}

/** A project that finds packages by their sources instead of what is built. */
function createTypeProject(root: string): Project {
  const paths = readdirSync(join(root, "packages")).map((name) => [
    `@briarhill/${name}/*`,
    [join(root, "packages", name, "src/*.ts")],
  ]);
  return new Project({
    skipAddingFilesFromTsConfig: true,
    compilerOptions: {
      target: ts.ScriptTarget.ES2023,
      lib: ["lib.es2023.d.ts"],
      module: ts.ModuleKind.NodeNext,
      types: ["node"],
      typeRoots: [join(root, "node_modules/@types")],
      strict: true,
      noImplicitAny: false,
      exactOptionalPropertyTypes: true,
      allowImportingTsExtensions: true,
      noEmit: true,
      skipLibCheck: true,
      paths: Object.fromEntries(paths),
    },
  });
}

function createRules(
  root: string,
  files: readonly StyleFile[],
): readonly StyleRule[] {
  const verbs = parseVerbs(readFileSync(join(root, VERBS_PATH), "utf8"));
  const errors = throwIfUndefined(
    files.find(({ path }) => path === ERRORS_PATH),
    `no "${ERRORS_PATH}"`,
  );
  return [
    new VerbRule(verbs),
    new IndexFileRule(),
    new TypedErrorRule(listExported(errors.source).map(({ name }) => name)),
    new DocCommentRule(),
    new ExampleRule(),
    new ExampleTypeRule({ project: createTypeProject(root), root, files }),
    new DefaultExportRule(),
    new ParameterRule(),
    new SizeRule(),
    new ClassFileRule(),
    new TestMirrorRule(files.map(({ path }) => path)),
    new BannerRule(),
    new PlatformNameRule(),
    new CatalogueRule(readCatalogues(root), files),
  ];
}

function readCatalogues(root: string): readonly string[] {
  const folder = join(root, CATALOGUES_PATH);
  return readdirSync(folder)
    .map((file) => readFileSync(join(folder, file), "utf8"));
}
