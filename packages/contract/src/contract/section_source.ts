/**
 * Sections of INI values with their source locations, and the faults found in
 * them.
 * @module
 */
import { ContractError } from "@briarhill/common/errors/errors";
import type {
  IniDocument,
  IniSection,
} from "@briarhill/common/settings/ini_document";
import type { z } from "zod";

/** The sections of a contract by name. */
export type ContractSections = Readonly<Record<string, IniSection>>;

/** A fault at a location in a file. */
export interface ContractFault {
  readonly file: string;
  /** The line number, or 0 if the value was not read from a file. */
  readonly line: number;
  readonly section: string;
  readonly key: string;
  readonly message: string;
}

/** Sections and the source locations of their keys. */
export interface SectionSource {
  readonly file: string;
  readonly sections: ContractSections;
  /** Returns the line of a key, or of the section heading if the key is omitted. */
  readonly getLine: (section: string, key?: string) => number;
}

/**
 * Returns the sections of an INI document with their source locations.
 *
 * @example
 * ```ts
 * const source = toSectionSource(IniDocument.parse("agencia.ini", text));
 * ```
 * @param document - The document.
 */
export function toSectionSource(document: IniDocument): SectionSource {
  const sections: Record<string, IniSection> = {};
  for (const name of document.getSectionNames()) {
    sections[name] = document.getSection(name) ?? {};
  }
  return {
    file: document.file,
    sections,
    getLine: (section, key) => document.getLine(section, key),
  };
}

/**
 * Creates a source of sections that were not read from a file.
 *
 * @example
 * ```ts
 * const source = createSectionSource("revision 17", sections);
 * ```
 * @param file - The name of the source in messages.
 * @param sections - The sections.
 */
export function createSectionSource(
  file: string,
  sections: ContractSections,
): SectionSource {
  return { file, sections, getLine: () => 0 };
}

/**
 * Creates a fault at the location of a key.
 *
 * @example
 * ```ts
 * createFault(source, { section: "live", key: "models", message: "unknown" });
 * ```
 * @param source - The source of the key.
 * @param fault - The section, the key and the message.
 */
export function createFault(
  source: SectionSource,
  fault: Pick<ContractFault, "section" | "key" | "message">,
): ContractFault {
  const line = source.getLine(fault.section, fault.key || undefined);
  return { file: source.file, line, ...fault };
}

/**
 * Formats a fault as one line that begins with `file:line`, which editors
 * recognize as a location.
 *
 * @example
 * ```ts
 * formatFault(fault); // a.ini:7: [engine_time] share is "2": too big
 * ```
 * @param fault - The fault.
 */
export function formatFault(fault: ContractFault): string {
  const keyText = fault.key === "" ? "" : ` ${fault.key}`;
  return `${fault.file}:${fault.line}: [${fault.section}]${keyText} ${fault.message}`;
}

/**
 * Throws a {@link ContractError} for the first fault, if there is one.
 *
 * @example
 * ```ts
 * throwIfFaults(checkContractSections(source));
 * ```
 * @param faults - The faults.
 */
export function throwIfFaults(faults: readonly ContractFault[]): void {
  const [fault] = faults;
  if (fault !== undefined) {
    const { file, line, section, key } = fault;
    throw new ContractError(formatFault(fault), {
      props: { file, line, section, key },
    });
  }
}

/** The result of checking a section against its schema. */
export interface CheckedSection<T extends z.ZodType> {
  readonly value: z.output<T> | undefined;
  readonly faults: readonly ContractFault[];
}

/**
 * Checks a section against its schema and returns all faults.
 *
 * @example
 * ```ts
 * const { value, faults } = checkSection(source, { section: "live", schema: LIVE_SECTION });
 * ```
 * @param source - The sections and their source locations.
 * @param check - The section and its schema.
 */
export function checkSection<T extends z.ZodType>(
  source: SectionSource,
  check: { readonly section: string; readonly schema: T },
): CheckedSection<T> {
  const { section, schema } = check;
  const raw = source.sections[section] ?? {};
  const result = schema.safeParse(raw);
  if (result.success) {
    return { value: result.data, faults: [] };
  }
  const faults = result.error.issues.flatMap((issue) =>
    getIssueKeys(issue).map((key) =>
      createFault(source, {
        section,
        key,
        message: `is ${
          JSON.stringify(raw[key]) ?? "missing"
        }: ${issue.message}`,
      })
    )
  );
  return { value: undefined, faults };
}

function getIssueKeys(issue: z.core.$ZodIssue): readonly string[] {
  return issue.code === "unrecognized_keys"
    ? issue.keys
    : [String(issue.path[0] ?? "")];
}
