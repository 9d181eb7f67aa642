/**
 * What every style rule has in common.
 * @module
 */
import type { SourceFile } from "ts-morph";

/** One file to check. */
export interface StyleFile {
  /** The path from the root of the repository, with "/". */
  readonly path: string;
  readonly source: SourceFile;
  readonly isTest: boolean;
}

/** A place that breaks a rule. */
export interface Violation {
  readonly line: number;
  readonly message: string;
}

/** A rule that a file keeps or breaks. */
export abstract class StyleRule {
  /** The rule's name in reports. */
  abstract readonly name: string;

  /**
   * Returns the places that break the rule.
   *
   * @param file - The file.
   */
  abstract findViolations(file: StyleFile): readonly Violation[];
}
