/**
 * Parses and validates JSON from other processes. A value must not be
 * returned as typed before it is validated.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import type { z } from "zod";

/** Options of {@link parseJson}. */
export interface ParseJsonOptions<T extends z.ZodType> {
  /** The expected schema. */
  readonly schema: T;
  readonly port: string;
  readonly operation: string;
  /** The outcome of the call to report in an error; "unknown" by default. */
  readonly outcome?: Outcome;
}

/**
 * Parses a JSON text and validates it against a schema; throws a
 * {@link PortError} with fault "malformed" if it is invalid.
 *
 * @example
 * ```ts
 * const limits = parseJson(text, {
 *   schema: LIMITS,
 *   port: "weights",
 *   operation: "getLimits",
 * });
 * ```
 * @param text - The JSON text.
 * @param options - The expected schema and the source of the text.
 */
export function parseJson<T extends z.ZodType>(
  text: string,
  options: ParseJsonOptions<T>,
): z.output<T> {
  const { schema, port, operation } = options;
  const result = schema.safeParse(parseJsonOrUndefined(text));
  if (result.success) {
    return result.data;
  }
  const issue = result.error.issues[0];
  const fieldPath = issue?.path.join(".") ?? "";
  const outcome: Outcome = options.outcome ?? "unknown";
  throw new PortError(
    `${port} "${operation}" returned data that does not match the schema: ` +
      `"${fieldPath}": ${issue?.message}`,
    { props: { port, operation, fault: "malformed", outcome } },
  );
}

/**
 * Parses a JSON text; returns undefined if it is not valid JSON.
 *
 * @example
 * ```ts
 * const value = parseJsonOrUndefined('{"running":3}');
 * ```
 * @param text - The JSON text.
 */
export function parseJsonOrUndefined(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
