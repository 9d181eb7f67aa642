/**
 * Lists responses whose head is not HTTP.
 * @module
 */
import {
  CONTROL_BYTES,
  createTitled,
  EARLY,
  formatSound,
  insertLine,
  MALFORMED_LINE_ENDS,
  type ResponseBytes,
  type ResponseContent,
  SOUND_STATUS_LINE,
} from "./response_bytes.ts";

const MALFORMED_STATUS_LINES = [
  ...["000", "001", "099", "101", "600", "900", "999", "20", "2000", "2x0"]
    .map((status) => `HTTP/1.1 ${status} OK`),
  ...["HTTP/0.9", "HTTP/2.0", "HTTP/1", "HTTP/1.1.1", "http/1.1", "RTSP/1.0"]
    .map((version) => `${version} 200 OK`),
  ...CONTROL_BYTES.map((byte) => `HTTP/1.1 200 O${byte}K`),
  "HTTP/1.1  200 OK",
  "HTTP/1.1\t200 OK",
  "HTTP/1.1 200\tOK",
  " HTTP/1.1 200 OK",
  "HTTP/1.1 OK 200",
  "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
];
const MALFORMED_FIELDS = [
  ...[...CONTROL_BYTES, " ", "\t", "\x80", "\xff", "(", '"', "/", "@"]
    .flatMap((byte) => [`X${byte}A: b`, `XA${byte}: b`, `${byte}XA: b`]),
  ...CONTROL_BYTES.map((byte) => `XA: b${byte}c`),
  ": b",
  "no colon here",
  "XA",
  " Transfer-Encoding: chunked",
  ...MALFORMED_LINE_ENDS.map((end) => `XA: b${end}XB: c`),
];

/**
 * Lists responses that are no HTTP because of their status line.
 *
 * @example
 * ```ts
 * const [malformed] = listMalformedStatusLines({ headers: [], body: "a" });
 * ```
 * @param content - What each response holds.
 */
export function listMalformedStatusLines(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const sound = formatSound(content);
  const rest = sound.slice(SOUND_STATUS_LINE.length);
  const early = [
    EARLY.replace("103", "000"),
    EARLY.replace("103", "101"),
    EARLY.replace("1.1", "2.0"),
    EARLY.replace("Early", "E\x01"),
    EARLY.replaceAll("\r\n", "\n"),
    `\r\n${EARLY}`,
  ];
  return [
    ...MALFORMED_STATUS_LINES.map((line) => line + rest),
    ...MALFORMED_LINE_ENDS.map((end) =>
      SOUND_STATUS_LINE + end + rest.slice("\r\n".length)
    ),
    ...["\r\n", "\n", "\r", "x", ...early].map((before) => before + sound),
  ].map((text) => createTitled(text));
}

/**
 * Lists responses that are no HTTP because of a field of their head, or of an
 * informational one before it.
 *
 * @example
 * ```ts
 * const [malformed] = listMalformedFields({ headers: [], body: "a" });
 * ```
 * @param content - What each response holds.
 */
export function listMalformedFields(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const sound = formatSound(content);
  return [sound, EARLY + sound].flatMap((text) =>
    MALFORMED_FIELDS.map((line) => insertLine(text, line))
  );
}
