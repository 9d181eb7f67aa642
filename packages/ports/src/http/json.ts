/**
 * JSON from outside, checked before it is used.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Outcome } from "@briarhill/common/ids/ids";
import type { z } from "zod";

/** What a text has to be, and where it came from. */
export interface JsonSource<T extends z.ZodType> {
  /** The form that is expected. */
  readonly schema: T;
  readonly port: string;
  readonly operation: string;
  /** What is known of the call besides; "unknown" where left out. */
  readonly outcome?: Outcome;
}

/**
 * Parses a JSON text and checks its form; another form is a
 * {@link PortError} with fault "malformed".
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
 * @param source - What the text has to be, and where it came from.
 */
export function parseJson<T extends z.ZodType>(
  text: string,
  source: JsonSource<T>,
): z.output<T> {
  const { schema, port, operation } = source;
  const result = schema.safeParse(parseOrUndefined(text));
  if (result.success) {
    return result.data;
  }
  const issue = result.error.issues[0];
  const place = issue?.path.join(".") ?? "";
  const outcome: Outcome = source.outcome ?? "unknown";
  throw new PortError(
    `${port} "${operation}" answered with another form: ` +
      `"${place}": ${issue?.message}`,
    { props: { port, operation, fault: "malformed", outcome } },
  );
}

/**
 * Parses a JSON text; returns undefined where it is none.
 *
 * @example
 * ```ts
 * const value = parseOrUndefined('{"running":3}');
 * ```
 * @param text - The JSON text.
 */
export function parseOrUndefined(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
