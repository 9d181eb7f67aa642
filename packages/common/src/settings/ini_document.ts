/**
 * Parses INI text and retains the line number of each key, so that errors can
 * refer to it.
 * @module
 */
import { parse } from "ini";
import { InputError } from "../errors/errors.ts";

/**
 * The values of a section: a string for each key, or a list if the key is
 * written as `key[]`.
 */
export type IniSection = Readonly<Record<string, string | readonly string[]>>;

const GLOBAL_SECTION = "";
/** Matches a lone carriage return too, as the `ini` library does. */
const LINE_END = /\r\n|\r|\n/;

/** A parsed INI text; sections and keys retain their order. */
export class IniDocument {
  readonly #sections: ReadonlyMap<string, IniSection>;
  readonly #lines: ReadonlyMap<string, number>;
  /** The file's name, used in messages. */
  readonly file: string;

  private constructor(file: string, text: string) {
    this.file = file;
    this.#lines = readLines(file, text);
    this.#sections = readSections(text);
  }

  /**
   * Parses an INI text, or throws an {@link InputError}.
   *
   * @param file - The file's name, used in messages.
   * @param text - The INI text.
   */
  static parse(file: string, text: string): IniDocument {
    return new IniDocument(file, text);
  }

  /** Returns the names of all sections in document order. */
  getSectionNames(): readonly string[] {
    return [...this.#sections.keys()];
  }

  /**
   * Returns a section, or undefined if the document does not contain it.
   *
   * @param name - The section's name.
   */
  getSection(name: string): IniSection | undefined {
    return this.#sections.get(name);
  }

  /**
   * Returns the line of a key. Falls back to the line of its section heading,
   * and to 0 if the document contains neither.
   *
   * @param section - The section's name.
   * @param key - The key; omitted for the line of the heading.
   */
  getLine(section: string, key?: string): number {
    const keyLine = key === undefined
      ? undefined
      : this.#lines.get(`${section}\n${key}`);
    return keyLine ?? this.#lines.get(section) ?? 0;
  }
}

function readSections(text: string): ReadonlyMap<string, IniSection> {
  const sections = new Map<string, IniSection>();
  const globals: Record<string, string | readonly string[]> = {};
  for (
    const [name, value] of Object.entries(parse(text, { bracketedArray: true }))
  ) {
    if (isSection(value)) {
      sections.set(name, toIniSection(value));
    } else {
      globals[name] = toText(value);
    }
  }
  if (Object.keys(globals).length > 0) {
    sections.set(GLOBAL_SECTION, globals);
  }
  return sections;
}

function isSection(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function toIniSection(section: Record<string, unknown>): IniSection {
  const flat: Record<string, string | readonly string[]> = {};
  for (const [key, value] of Object.entries(section)) {
    flat[key] = toText(value);
  }
  return flat;
}

function toText(value: unknown): string | readonly string[] {
  return Array.isArray(value) ? value.map(String) : String(value);
}

/**
 * Finds the line of each heading and key. Rejects input that the `ini` library
 * would merge or nest silently.
 */
function readLines(file: string, text: string): ReadonlyMap<string, number> {
  const lines = new Map<string, number>();
  let section = GLOBAL_SECTION;
  for (const [index, raw] of text.split(LINE_END).entries()) {
    const line = raw.trim();
    if (line === "" || line.startsWith(";") || line.startsWith("#")) {
      continue;
    }
    const heading = /^\[([^\]]*)\]$/.exec(line)?.[1];
    const key = heading === undefined
      ? line.split("=", 1)[0]?.trim() ?? ""
      : undefined;
    const location = {
      file,
      line: index + 1,
      section: heading ?? section,
      key: key ?? "",
    };
    throwIfUnsupported(location, {
      heading,
      key,
      hasValue: line.includes("="),
    });
    section = heading ?? section;
    const id = key === undefined
      ? section
      : `${section}\n${key.replace(/\[\]$/, "")}`;
    if (lines.has(id) && !key?.endsWith("[]")) {
      throw new InputError(
        `${file}:${index + 1}: "${key ?? heading}" is defined twice`,
        { props: location },
      );
    }
    lines.set(id, lines.get(id) ?? index + 1);
  }
  return lines;
}

interface LineParts {
  readonly heading: string | undefined;
  readonly key: string | undefined;
  readonly hasValue: boolean;
}

function throwIfUnsupported(
  location: {
    readonly file: string;
    readonly line: number;
    readonly section: string;
    readonly key: string;
  },
  parts: LineParts,
): void {
  const position = `${location.file}:${location.line}`;
  if (
    parts.heading !== undefined && /[.\\]|^__proto__$|^$/.test(parts.heading)
  ) {
    throw new InputError(
      `${position}: section name "${parts.heading}" must not be empty, be "__proto__" or contain "." or "\\"`,
      {
        props: location,
      },
    );
  }
  if (
    parts.key !== undefined &&
    (!parts.hasValue || !/^[A-Za-z0-9_-]+(\[\])?$/.test(parts.key))
  ) {
    throw new InputError(
      `${position}: "${parts.key}" is not a line of the form "key = value"`,
      { props: location },
    );
  }
}
