/**
 * Which module of the workspace exports which name.
 * @module
 */
import { listExported } from "../rules/exported_declarations.ts";
import type { StyleFile } from "../rules/style_rule.ts";

const SOURCE_PATH = /^packages\/([^/]+)\/src\/(.*)\.ts$/;

/** Which module of the workspace exports which name. */
export class ExportIndex {
  /** The paths of the modules that export each name. */
  readonly #paths = new Map<string, Set<string>>();

  constructor(files: readonly StyleFile[]) {
    for (const { path, source } of files.filter(({ isTest }) => !isTest)) {
      for (const { name } of listExported(source)) {
        this.#paths.set(name, (this.#paths.get(name) ?? new Set()).add(path));
      }
    }
  }

  /**
   * Returns the public path of the module that exports a name: of the same
   * module, else of the same package, else of the only package that has it.
   *
   * @param name - The name.
   * @param from - The path of the module that uses it.
   */
  getModule(name: string, from: string): string | undefined {
    const paths = [...this.#paths.get(name) ?? []];
    const [, ownPackage] = SOURCE_PATH.exec(from) ?? [];
    const prefix = `packages/${ownPackage}/`;
    const near = paths.find((path) => path === from) ??
      paths.find((path) => path.startsWith(prefix));
    const found = near ?? (paths.length === 1 ? paths[0] : undefined);
    return found?.replace(SOURCE_PATH, "@briarhill/$1/$2");
  }
}
