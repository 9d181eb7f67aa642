/**
 * Decides where the body of a response ends. Readers that decide differently read
 * different bodies, so a head whose framing is ambiguous is rejected.
 * @module
 */
import { createResponseFault } from "./response_fault.ts";
import type { HeaderField, StatusLine } from "./response_syntax.ts";

const FIRST_FINAL_STATUS = 200;
const NO_CONTENT_STATUS = 204;
const NOT_MODIFIED_STATUS = 304;
const LENGTH = /^0*[0-9]{1,15}$/;

/** The head of a response. */
export interface ResponseHead extends StatusLine {
  readonly fields: readonly HeaderField[];
}

/** Where a body ends: it has none, after some bytes, with its last chunk, or with its connection. */
export type BodyFraming =
  | { readonly kind: "none" }
  | { readonly kind: "length"; readonly bytes: number }
  | { readonly kind: "chunked" }
  | { readonly kind: "connection" };

/**
 * Throws a `ResponseSyntaxError` if the body of a response is said to be encoded,
 * which a reader that has not asked for an encoding would take as it is.
 *
 * @example
 * ```ts
 * throwIfEncoded({ minorVersion: 1, status: 200, fields: [] });
 * ```
 * @param head - The head of the response.
 */
export function throwIfEncoded(head: ResponseHead): void {
  const [encoding] = listValues(head, "content-encoding");
  if (encoding !== undefined) {
    const found = "an unexpected content encoding";
    throw createResponseFault(found, `${head.status} ${encoding}`);
  }
}

/**
 * Parses the fields that frame the body of a response. Throws a
 * `ResponseSyntaxError` if they are malformed, contradict each other or name a
 * transfer coding that the parsers in use do not decode.
 *
 * @example
 * ```ts
 * const head = { minorVersion: 1, status: 200, fields: [] } as const;
 *
 * const framing = parseBodyFraming(head, "GET");
 * ```
 * @param head - The head of the response.
 * @param method - The method of the request.
 */
export function parseBodyFraming(
  head: ResponseHead,
  method: string,
): BodyFraming {
  const framing = parseFields(head);
  if (isBodilessStatus(head.status)) {
    throwIfFramed(framing, head);
    return { kind: "none" };
  }
  const isBodiless = method === "HEAD" || head.status === NOT_MODIFIED_STATUS;
  return isBodiless ? { kind: "none" } : framing;
}

function parseFields(head: ResponseHead): BodyFraming {
  const codings = listValues(head, "transfer-encoding");
  const lengths = listValues(head, "content-length");
  if (codings.length + lengths.length > 1) {
    throw createFramingFault("a body with two framings", head);
  }
  const [coding] = codings;
  const [length] = lengths;
  if (coding !== undefined) {
    return parseCoding(coding, head);
  }
  return length === undefined
    ? { kind: "connection" }
    : parseLength(length, head);
}

function parseCoding(coding: string, head: ResponseHead): BodyFraming {
  const name = coding.toLowerCase();
  if (head.minorVersion === 0 || !["chunked", "identity"].includes(name)) {
    throw createFramingFault("an unsupported transfer coding", head);
  }
  return { kind: name === "chunked" ? "chunked" : "connection" };
}

function parseLength(length: string, head: ResponseHead): BodyFraming {
  if (!LENGTH.test(length)) {
    throw createFramingFault("a malformed length", head);
  }
  return { kind: "length", bytes: Number(length) };
}

/** A length of 0 is common in practice, and no reader takes it for anything else. */
function throwIfFramed(framing: BodyFraming, head: ResponseHead): void {
  const isEmpty = framing.kind === "length" && framing.bytes === 0;
  if (framing.kind !== "connection" && !isEmpty) {
    throw createFramingFault("a body with a status that allows none", head);
  }
}

function isBodilessStatus(status: number): boolean {
  return status < FIRST_FINAL_STATUS || status === NO_CONTENT_STATUS;
}

function listValues({ fields }: ResponseHead, name: string): readonly string[] {
  return fields.filter((field) => field.name === name)
    .map(({ value }) => value);
}

function createFramingFault(found: string, head: ResponseHead): Error {
  const framing = ["transfer-encoding", "content-length"].flatMap((name) =>
    listValues(head, name).map((value) => `${name}: ${value}`)
  );
  return createResponseFault(found, `${head.status} ${framing.join(", ")}`);
}
