/**
 * Validates a section of an INI document with a schema.
 * @module
 */
import type { z } from "zod";
import { InputError } from "../errors/errors.ts";
import type { IniDocument } from "./ini_document.ts";

/** The class of the error to throw, such as `SettingsError`. */
export type InputErrorClass = new (
  message: string,
  options: {
    readonly props: {
      readonly file: string;
      readonly line: number;
      readonly section: string;
      readonly key: string;
    };
  },
) => InputError;

/** Options of {@link parseIniSection}. */
export interface IniSectionCheck<T extends z.ZodType> {
  readonly section: string;
  readonly schema: T;
  readonly errorClass: InputErrorClass;
}

/**
 * Parses the values of a section, treating a missing section as empty. Throws
 * an error that names the file, line, section, key, value and expected value.
 *
 * @example
 * ```ts
 * const node = parseIniSection(document, {
 *   section: "node",
 *   schema: NODE_SECTION,
 *   errorClass: SettingsError,
 * });
 * ```
 * @param document - The document.
 * @param check - The section, its schema and the class of the error.
 */
export function parseIniSection<T extends z.ZodType>(
  document: IniDocument,
  check: IniSectionCheck<T>,
): z.output<T> {
  const values = document.getSection(check.section) ?? {};
  const result = check.schema.safeParse(values);
  if (result.success) {
    return result.data;
  }
  const issue = result.error.issues[0];
  const key = getIssueKey(issue);
  const line = document.getLine(check.section, key);
  const found = values[key] === undefined
    ? "missing"
    : JSON.stringify(values[key]);
  throw new check.errorClass(
    `${document.file}:${line}: [${check.section}] ${key} is ${found}: ${issue?.message}`,
    { props: { file: document.file, line, section: check.section, key } },
  );
}

function getIssueKey(issue: z.core.$ZodIssue | undefined): string {
  if (issue?.code === "unrecognized_keys") {
    return issue.keys[0] ?? "";
  }
  return String(issue?.path[0] ?? "");
}
