/**
 * Validates external input before it is used.
 * @module
 */
import type { z } from "zod";
import { InputError } from "../errors/errors.ts";

/** Options of {@link parseInput}. */
export interface ExpectedInput<T extends z.ZodType> {
  readonly schema: T;
  /** The name of the input in errors, such as "the body". */
  readonly name: string;
}

/**
 * Parses a value with a schema, or throws an {@link InputError} that names the
 * path of the first invalid value.
 *
 * @example
 * ```ts
 * const { offset } = parseInput(value, { schema: DIGEST, name: "the message" });
 * ```
 * @param value - The input.
 * @param expected - The schema, and the name used in errors.
 */
export function parseInput<T extends z.ZodType>(
  value: unknown,
  { schema, name }: ExpectedInput<T>,
): z.output<T> {
  const result = schema.safeParse(value);
  if (result.success) {
    return result.data;
  }
  const issue = result.error.issues[0];
  const path = issue?.path.join(".") ?? "";
  throw new InputError(`${name}'s "${path}" is invalid: ${issue?.message}`, {
    props: { key: path },
  });
}
