/**
 * Formats the bytes of responses for the tests of all readers. The lists of such
 * responses stand beside this module: ones that are no HTTP response though a parser
 * may take them for one, and unusual ones that have to stay whole.
 * @module
 */

/** What all responses of a list hold. */
export interface ResponseContent {
  /** Lines of the head without their ends, such as what a reader needs to accept a response. */
  readonly headers: readonly string[];
  readonly body: string;
}

/** The bytes of one response. */
export interface ResponseBytes {
  readonly title: string;
  /** A character for each byte. */
  readonly text: string;
}

/** The first line of the responses. */
export const SOUND_STATUS_LINE = "HTTP/1.1 200 OK";
/** An informational response. */
export const EARLY = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
/** Bytes that occur in no line, DEL included; CR and LF have cases of their own. */
export const CONTROL_BYTES: readonly string[] = [
  ...[0x00, 0x01, 0x08, 0x0b, 0x0c, 0x0e, 0x1b, 0x1f, 0x7f],
].map((code) => String.fromCharCode(code));
/** What stands in the place of a line end. */
export const MALFORMED_LINE_ENDS = ["\n", "\r", "\r\r\n", "\rx", "x\n", "\n\r"];

const MAX_TITLE_CHARACTERS = 60;

/**
 * Returns a response with a title, which shows what it is about.
 *
 * @example
 * ```ts
 * const response = createTitled("HTTP/1.1 000 OK\r\n\r\n");
 * ```
 * @param text - The bytes of the response.
 * @param shown - The part of them that is shown, if not their beginning.
 */
export function createTitled(
  text: string,
  shown: string = text,
): ResponseBytes {
  return { title: JSON.stringify(shown.slice(0, MAX_TITLE_CHARACTERS)), text };
}

/**
 * Returns a response whose body is framed by a field.
 *
 * @example
 * ```ts
 * const response = createFramed({ headers: [], body: "a" }, "Content-Length: 1");
 * ```
 * @param content - The other fields, and the bytes of the body as sent.
 * @param framing - The field, or several of them.
 */
export function createFramed(
  { headers, body }: ResponseContent,
  framing: string,
): ResponseBytes {
  const head = [SOUND_STATUS_LINE, ...headers, framing].join("\r\n");
  return createTitled(`${head}\r\n\r\n${body}`, framing);
}

/**
 * Returns a sound response, whose body has a length.
 *
 * @example
 * ```ts
 * const text = formatSound({ headers: [], body: "a" });
 * ```
 * @param content - What the response holds.
 */
export function formatSound(content: ResponseContent): string {
  return createFramed(content, `Content-Length: ${content.body.length}`).text;
}

/**
 * Returns a body in one chunk.
 *
 * @example
 * ```ts
 * const chunks = formatChunks("a");
 * ```
 * @param body - The body.
 */
export function formatChunks(body: string): string {
  return `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

/**
 * Inserts a line behind the first status line of a text.
 *
 * @example
 * ```ts
 * const response = insertLine("HTTP/1.1 200 OK\r\n\r\n", "X A: b");
 * ```
 * @param text - The bytes of a response.
 * @param line - The line without its end.
 */
export function insertLine(text: string, line: string): ResponseBytes {
  const inserted = text.replace("\r\n", () => `\r\n${line}\r\n`);
  return createTitled(inserted, line);
}
