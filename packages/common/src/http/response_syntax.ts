/**
 * Parses the lines of a response head, as RFC 9112 and RFC 9110 define them.
 * @module
 */
import { createResponseFault } from "./response_fault.ts";

/** Some servers omit the space after the status if there is no reason; no reader takes such a line for anything else. */
const STATUS_LINE =
  /^HTTP\/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?$/;
/** Must not backtrack, as a line may be long and hold any bytes. */
const FIELD_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)$/;
/** No request here asks for another protocol. */
const SWITCHING_PROTOCOLS_STATUS = 101;

/** The first line of a response. */
export interface StatusLine {
  /** The minor version of HTTP/1. */
  readonly minorVersion: 0 | 1;
  readonly status: number;
}

/**
 * Parses the first line of a response. Throws a `ResponseSyntaxError` if it is malformed.
 *
 * @example
 * ```ts
 * const { status } = parseStatusLine("HTTP/1.1 200 OK");
 * ```
 * @param line - The line without its end, a character for each byte.
 */
export function parseStatusLine(line: string): StatusLine {
  const [, minorVersion, digits] = STATUS_LINE.exec(line) ?? [];
  const status = Number(digits);
  if (minorVersion === undefined || status === SWITCHING_PROTOCOLS_STATUS) {
    throw createResponseFault("a malformed status line", line);
  }
  return { minorVersion: minorVersion === "1" ? 1 : 0, status };
}

/** A line of a head or of trailers. */
export interface HeaderField {
  /** The name in lower case. */
  readonly name: string;
  readonly value: string;
}

/**
 * Parses a field of a head or of trailers. Throws a `ResponseSyntaxError` if it is
 * malformed; a value that is folded into the next line counts as malformed.
 *
 * @example
 * ```ts
 * const { name, value } = parseHeaderField("Content-Length: 2");
 * ```
 * @param line - The line without its end, a character for each byte.
 */
export function parseHeaderField(line: string): HeaderField {
  const [, name, value] = FIELD_LINE.exec(line) ?? [];
  if (name === undefined || value === undefined) {
    throw createResponseFault("a malformed header field", line);
  }
  return { name: name.toLowerCase(), value: removeBlanks(value) };
}

/** Removes the blanks around a value, which do not belong to it, but not a tab behind it, which the parsers in use keep. */
function removeBlanks(text: string): string {
  let [begin, end] = [0, text.length];
  while (text[begin] === " " || text[begin] === "\t") {
    begin++;
  }
  while (end > begin && text[end - 1] === " ") {
    end--;
  }
  return text.slice(begin, end);
}
