/**
 * Reads the fields of a JSON object. Each field that is missing or of the wrong
 * type is an `InputError` that names the field and the expected type.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { Buffer } from "node:buffer";

/** The length at which a value is cut in an error message, in characters. */
const MAX_FOUND_LENGTH = 80;

/** Reads the fields of a JSON object and checks their types. */
export class FieldReader {
  readonly #description: string;
  readonly #value: Readonly<Record<string, unknown>>;

  /**
   * @param description - What the object is, used in error messages.
   * @param value - The parsed JSON.
   */
  constructor(description: string, value: unknown) {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
      throw new InputError(`${description} is not a JSON object`);
    }
    this.#description = description;
    this.#value = value as Record<string, unknown>;
  }

  /**
   * Parses a JSON object.
   *
   * @param description - What the object is, used in error messages.
   * @param text - The JSON text.
   */
  static parse(description: string, text: Buffer): FieldReader {
    try {
      return new FieldReader(description, JSON.parse(text.toString()));
    } catch (error) {
      if (error instanceof InputError) {
        throw error;
      }
      throw new InputError(`${description} is not valid JSON`, {
        cause: error,
      });
    }
  }

  /**
   * Returns whether a field is present and not null.
   *
   * @param name - The field name.
   */
  hasField(name: string): boolean {
    return this.#value[name] !== undefined && this.#value[name] !== null;
  }

  /**
   * Returns a string field.
   *
   * @param name - The field name.
   * @param fallback - The default for a missing field.
   */
  getText(name: string, fallback?: string): string {
    const found = this.#value[name] ?? fallback;
    if (typeof found !== "string") {
      throw this.#createError(name, "a string");
    }
    return found;
  }

  /**
   * Returns a non-negative number field.
   *
   * @param name - The field name.
   * @param fallback - The default for a missing field.
   */
  getNumber(name: string, fallback?: number): number {
    const found = this.#value[name] ?? fallback;
    if (typeof found !== "number" || !Number.isFinite(found) || found < 0) {
      throw this.#createError(name, "a non-negative number");
    }
    return found;
  }

  /**
   * Returns a non-negative integer field.
   *
   * @param name - The field name.
   * @param fallback - The default for a missing field.
   */
  getInteger(name: string, fallback?: number): number {
    const found = this.getNumber(name, fallback);
    if (!Number.isSafeInteger(found)) {
      throw this.#createError(name, "an integer");
    }
    return found;
  }

  /**
   * Returns a boolean field; a missing field is false.
   *
   * @param name - The field name.
   */
  isTrue(name: string): boolean {
    const found = this.#value[name] ?? false;
    if (typeof found !== "boolean") {
      throw this.#createError(name, "a boolean");
    }
    return found;
  }

  /**
   * Returns the objects of an array field; a missing field is an empty array.
   *
   * @param name - The field name.
   */
  listObjects(name: string): readonly FieldReader[] {
    const found = this.#value[name] ?? [];
    if (!Array.isArray(found)) {
      throw this.#createError(name, "an array");
    }
    return found.map((value) =>
      new FieldReader(`an entry of "${name}" of ${this.#description}`, value)
    );
  }

  /**
   * Returns the strings of an array field; a missing field is an empty array.
   *
   * @param name - The field name.
   */
  listTexts(name: string): readonly string[] {
    const found = this.#value[name] ?? [];
    if (!Array.isArray(found) || !found.every(isText)) {
      throw this.#createError(name, "an array of strings");
    }
    return found;
  }

  /**
   * Returns the rows of a field with an array of arrays; a missing field is an
   * empty array.
   *
   * @param name - The field name.
   */
  listRows(name: string): readonly (readonly unknown[])[] {
    const found = this.#value[name] ?? [];
    if (!Array.isArray(found) || !found.every(Array.isArray)) {
      throw this.#createError(name, "an array of arrays");
    }
    return found;
  }

  /**
   * Returns an object field, or undefined if it is missing.
   *
   * @param name - The field name.
   */
  getObject(name: string): FieldReader | undefined {
    return this.hasField(name)
      ? new FieldReader(`"${name}" of ${this.#description}`, this.#value[name])
      : undefined;
  }

  /**
   * Returns the names and values of an object field whose values are strings; a
   * missing field is an empty object.
   *
   * @param name - The field name.
   */
  listTextEntries(name: string): readonly (readonly [string, string])[] {
    const found = this.#value[name] ?? {};
    if (typeof found !== "object" || found === null || Array.isArray(found)) {
      throw this.#createError(name, "an object with string values");
    }
    return Object.entries(found).map(([key, value]) => {
      if (typeof value !== "string") {
        throw this.#createError(`${name}.${key}`, "a string");
      }
      return [key, value] as const;
    });
  }

  /**
   * Returns the names and values of an object field whose values are numbers; a
   * missing field is an empty object.
   *
   * @param name - The field name.
   */
  listNumberEntries(name: string): readonly (readonly [string, number])[] {
    const fields = this.getObject(name);
    return fields === undefined
      ? []
      : Object.keys(fields.#value).map((key) =>
        [key, fields.getNumber(key)] as const
      );
  }

  #createError(name: string, expected: string): InputError {
    const found = formatFound(this.#value[name]);
    return new InputError(
      `"${name}" of ${this.#description} is ${found}, expected ${expected}`,
      { props: { key: name } },
    );
  }
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

/** Formats a value for an error message; an object is not visited, as it may be nested without bound. */
function formatFound(value: unknown): string {
  if (value === undefined) {
    return "missing";
  }
  if (typeof value === "object" && value !== null) {
    return Array.isArray(value) ? "an array" : "an object";
  }
  return JSON.stringify(value).slice(0, MAX_FOUND_LENGTH);
}
