/**
 * Lists unusual responses that are HTTP and have to be returned whole.
 * @module
 */
import {
  createFramed,
  createTitled,
  EARLY,
  formatChunks,
  formatSound,
  insertLine,
  type ResponseBytes,
  type ResponseContent,
  SOUND_STATUS_LINE,
} from "./response_bytes.ts";

const STATUS_LINES = [
  "HTTP/1.1 200 ",
  "HTTP/1.1 200",
  "HTTP/1.1 200 \ttabs\tand \x80\xff",
  "HTTP/1.0 200 OK",
  "HTTP/1.1 299 OK",
];
const FIELDS = [
  "!#$%&'*+-.^_`|~09AZaz: all characters of names",
  "XA:",
  "XA: \t ",
  "XA:b",
  "XA: \tb\tc\t",
  "XA: \x80\xff",
  'XA: :;,"()<>@{}',
];
/** Framings of a body in chunks. */
const CODINGS = ["chunked", "CHUNKED", " \tchunked "];
/** Framings of a body whose length is N, or that ends with its connection. */
const FRAMINGS = [
  ...["Content-Length: 000N", "Content-Length:  \tN ", "Connection: close"],
  ...["X-No: length", "Transfer-Encoding: identity", "X-Coding: chunked"],
];
const INFORMATIONAL = [
  EARLY,
  EARLY + EARLY,
  "HTTP/1.1 102 Processing\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n",
];

/**
 * Lists unusual responses that are HTTP and have to be returned whole.
 *
 * @example
 * ```ts
 * const [unusual] = listUnusualResponses({ headers: [], body: "a" });
 * ```
 * @param content - What each response holds.
 */
export function listUnusualResponses(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const sound = formatSound(content);
  return [
    ...STATUS_LINES.map((line) =>
      createTitled(sound.replace(SOUND_STATUS_LINE, () => line))
    ),
    ...FIELDS.map((line) => insertLine(sound, line)),
    ...FRAMINGS.map((field) =>
      createFramed(
        content,
        field.replace(/N(?=( |$))/, String(content.body.length)),
      )
    ),
    ...listUnusualChunks(content),
    ...INFORMATIONAL.map((early) => createTitled(early + sound)),
  ];
}

function listUnusualChunks(content: ResponseContent): readonly ResponseBytes[] {
  const { body } = content;
  const size = body.length.toString(16);
  const rest = (body.length - 1).toString(16);
  const inChunks = { ...content, body: formatChunks(body) };
  return [
    ...CODINGS.map((value) =>
      createFramed(inChunks, `Transfer-Encoding: ${value}`)
    ),
    ...[
      `000${size}\r\n${body}\r\n000\r\n\r\n`,
      `${size};a=b\r\n${body}\r\n0;x\r\n\r\n`,
      `${size};c="d e"\r\n${body}\r\n0\r\n\r\n`,
      `1\r\n${body[0]}\r\n${rest}\r\n${body.slice(1)}\r\n0\r\n\r\n`,
      `${size}\r\n${body}\r\n0\r\nXA: b\r\nXB:\r\n\r\n`,
    ].map((chunks) =>
      createFramed({ ...content, body: chunks }, "Transfer-Encoding: chunked")
    ),
  ];
}
