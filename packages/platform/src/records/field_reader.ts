/**
 * Reads the fields of a JSON object, with a typed error for each that is not as expected.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { Buffer } from "node:buffer";

/** A JSON object whose fields are read one by one. */
export class FieldReader {
  readonly #what: string;
  readonly #value: Readonly<Record<string, unknown>>;

  /**
   * @param what - What the object is, for messages.
   * @param value - The parsed JSON.
   */
  constructor(what: string, value: unknown) {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
      throw new InputError(`${what} is no object`);
    }
    this.#what = what;
    this.#value = value as Record<string, unknown>;
  }

  /**
   * Parses a JSON text.
   *
   * @param what - What the object is, for messages.
   * @param text - The text.
   */
  static parse(what: string, text: Buffer): FieldReader {
    try {
      return new FieldReader(what, JSON.parse(text.toString()));
    } catch (error) {
      if (error instanceof InputError) {
        throw error;
      }
      throw new InputError(`${what} is no JSON`, { cause: error });
    }
  }

  /**
   * Tells whether a field is there.
   *
   * @param name - The field.
   */
  hasField(name: string): boolean {
    return this.#value[name] !== undefined && this.#value[name] !== null;
  }

  /**
   * Returns a text.
   *
   * @param name - The field.
   * @param fallback - Used where the field is missing.
   */
  getText(name: string, fallback?: string): string {
    const found = this.#value[name] ?? fallback;
    if (typeof found !== "string") {
      throw this.#createError(name, "a text");
    }
    return found;
  }

  /**
   * Returns a number that is not negative.
   *
   * @param name - The field.
   * @param fallback - Used where the field is missing.
   */
  getNumber(name: string, fallback?: number): number {
    const found = this.#value[name] ?? fallback;
    if (typeof found !== "number" || !Number.isFinite(found) || found < 0) {
      throw this.#createError(name, "a number of 0 or more");
    }
    return found;
  }

  /**
   * Returns a whole number that is not negative.
   *
   * @param name - The field.
   * @param fallback - Used where the field is missing.
   */
  getInteger(name: string, fallback?: number): number {
    const found = this.getNumber(name, fallback);
    if (!Number.isSafeInteger(found)) {
      throw this.#createError(name, "a whole number");
    }
    return found;
  }

  /**
   * Returns true or false; a missing field is false.
   *
   * @param name - The field.
   */
  isTrue(name: string): boolean {
    const found = this.#value[name] ?? false;
    if (typeof found !== "boolean") {
      throw this.#createError(name, "true or false");
    }
    return found;
  }

  /**
   * Returns the objects of a list; a missing field is an empty list.
   *
   * @param name - The field.
   */
  listObjects(name: string): readonly FieldReader[] {
    const found = this.#value[name] ?? [];
    if (!Array.isArray(found)) {
      throw this.#createError(name, "a list");
    }
    return found.map((value) =>
      new FieldReader(`an entry of "${name}" of ${this.#what}`, value)
    );
  }

  /**
   * Returns the rows of a list of lists; a missing field is an empty list.
   *
   * @param name - The field.
   */
  listRows(name: string): readonly (readonly unknown[])[] {
    const found = this.#value[name] ?? [];
    if (!Array.isArray(found) || !found.every(Array.isArray)) {
      throw this.#createError(name, "a list of lists");
    }
    return found;
  }

  /**
   * Returns an object, or undefined where the field is missing.
   *
   * @param name - The field.
   */
  getObject(name: string): FieldReader | undefined {
    return this.hasField(name)
      ? new FieldReader(`"${name}" of ${this.#what}`, this.#value[name])
      : undefined;
  }

  /**
   * Returns the texts of an object as names and values.
   *
   * @param name - The field.
   */
  listTextEntries(name: string): readonly (readonly [string, string])[] {
    const found = this.#value[name] ?? {};
    if (typeof found !== "object" || found === null || Array.isArray(found)) {
      throw this.#createError(name, "an object of texts");
    }
    return Object.entries(found).map(([key, value]) => {
      if (typeof value !== "string") {
        throw this.#createError(`${name}.${key}`, "a text");
      }
      return [key, value] as const;
    });
  }

  #createError(name: string, expected: string): InputError {
    const found = JSON.stringify(this.#value[name]) ?? "missing";
    return new InputError(
      `"${name}" of ${this.#what} is ${
        found.slice(0, 80)
      }, expected ${expected}`,
      { props: { key: name } },
    );
  }
}
