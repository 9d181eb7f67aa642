/**
 * Lists the bytes of responses for the tests of all readers: ones that are no HTTP
 * response though parsers may take them for one, and rare ones that have to stay
 * whole.
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

/** Control bytes that occur nowhere in a head, DEL included; CR and LF have cases of their own. */
const CONTROL_BYTES = [0x00, 0x01, 0x08, 0x0b, 0x0c, 0x0e, 0x1b, 0x1f, 0x7f]
  .map((code) => String.fromCharCode(code));
const SOUND_STATUS_LINE = "HTTP/1.1 200 OK";
const SPOILT_STATUS_LINES = [
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
const RARE_STATUS_LINES = [
  "HTTP/1.1 200 ",
  "HTTP/1.1 200",
  "HTTP/1.1 200 \ttabs\tand \x80\xff",
  "HTTP/1.0 200 OK",
  "HTTP/1.1 299 OK",
];
/** What stands in the place of a line end. */
const SPOILT_LINE_ENDS = ["\n", "\r", "\r\r\n", "\rx", "x\n", "\n\r"];
const SPOILT_FIELDS = [
  ...[...CONTROL_BYTES, " ", "\t", "\x80", "\xff", "(", '"', "/", "@"]
    .flatMap((byte) => [`X${byte}A: b`, `XA${byte}: b`, `${byte}XA: b`]),
  ...CONTROL_BYTES.map((byte) => `XA: b${byte}c`),
  ": b",
  "no colon here",
  "XA",
  " Transfer-Encoding: chunked",
  ...SPOILT_LINE_ENDS.map((end) => `XA: b${end}XB: c`),
];
const RARE_FIELDS = [
  "!#$%&'*+-.^_`|~09AZaz: all characters of names",
  "XA:",
  "XA: \t ",
  "XA:b",
  "XA: \tb\tc\t",
  "XA: \x80\xff",
  'XA: :;,"()<>@{}',
];
/** Framings of a body in chunks. */
const SPOILT_CODINGS = [
  ...["", "gzip", "x", "chunke", "chunked, gzip", "chunked,", "chunked;q=1"],
  ...["gzip, chunked", "chunked, chunked", "chunked\t", "\xffchunked"],
  "gzip\r\nTransfer-Encoding: chunked",
  "chunked\r\nTransfer-Encoding: chunked",
  "chunked\r\nTransfer-Encoding: gzip",
].map((value) => `Transfer-Encoding: ${value}`);
/** Framings of a body of four bytes. */
const SPOILT_LENGTHS = [
  ...["+4", "-2", "0x4", "4.0", "", "4 4", "4, 4", "4;", "9".repeat(20)],
  "4\r\nContent-Length: 4",
  "4\r\nContent-Length: 5",
  "4\r\nTransfer-Encoding: chunked",
  "4\r\nTransfer-Encoding: identity",
].map((value) => `Content-Length: ${value}`);
const EARLY = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

/**
 * Lists responses that are no HTTP because of their status line.
 *
 * @example
 * ```ts
 * const [spoilt] = listSpoiltStatusLines({ headers: [], body: "a" });
 * ```
 * @param content - What each response holds.
 */
export function listSpoiltStatusLines(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const sound = formatSound(content);
  const afterStatusLine = sound.slice(SOUND_STATUS_LINE.length + 2);
  return [
    ...SPOILT_STATUS_LINES.map((line) => toBytes(sound, { status: line })),
    ...SPOILT_LINE_ENDS.map((end) => SOUND_STATUS_LINE + end + afterStatusLine)
      .map(toTitled),
    ...["\r\n", "\n", "\r", "x"].map((before) => toTitled(before + sound)),
    ...[
      EARLY.replace("103", "000"),
      EARLY.replace("103", "101"),
      EARLY.replace("1.1", "2.0"),
      EARLY.replace("Early", "E\x01"),
      EARLY.replaceAll("\r\n", "\n"),
      `\r\n${EARLY}`,
    ].map((early) => toTitled(early + sound)),
  ];
}

/**
 * Lists responses that are no HTTP because of a field of their head, or of an
 * informational one before it.
 *
 * @example
 * ```ts
 * const [spoilt] = listSpoiltFields({ headers: [], body: "a" });
 * ```
 * @param content - What each response holds.
 */
export function listSpoiltFields(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const sound = formatSound(content);
  return [
    ...SPOILT_FIELDS.map((line) => insertField(sound, line)),
    ...SPOILT_FIELDS.map((line) => insertField(EARLY + sound, line)),
  ];
}

/**
 * Lists responses whose head leaves a doubt on where their body ends.
 *
 * @example
 * ```ts
 * const [spoilt] = listSpoiltFramings({ headers: [], body: "body" });
 * ```
 * @param content - What each response holds.
 */
export function listSpoiltFramings(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const { body } = content;
  const chunks = formatChunks(body);
  const chunked = toResponse(content, "Transfer-Encoding: chunked", chunks);
  const sound = toResponse(content, formatLength(body), body);
  return [
    ...SPOILT_CODINGS.map((field) => toResponse(content, field, chunks)),
    ...SPOILT_LENGTHS.map((field) => toResponse(content, field, body)),
    toTitled(chunked.text.replace("1.1", "1.0")),
    ...[sound, chunked].map(({ text }) => toTitled(text.replace("200", "204"))),
    ...[`${formatLength(body)}`, "Transfer-Encoding: chunked"]
      .map((field) => insertField(EARLY + sound.text, field)),
  ];
}

/**
 * Lists rare responses that are HTTP and have to stay whole.
 *
 * @example
 * ```ts
 * const [rare] = listRareResponses({ headers: [], body: "a" });
 * ```
 * @param content - What each response holds.
 */
export function listRareResponses(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const sound = formatSound(content);
  return [
    ...RARE_STATUS_LINES.map((line) => toBytes(sound, { status: line })),
    ...RARE_FIELDS.map((line) => insertField(sound, line)),
    ...listRareFramings(content),
    ...[
      EARLY,
      EARLY + EARLY,
      "HTTP/1.1 102 Processing\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n",
    ].map((early) => toTitled(early + sound)),
  ];
}

function listRareFramings(content: ResponseContent): readonly ResponseBytes[] {
  const { body } = content;
  const chunks = formatChunks(body);
  return [
    ...["CHUNKED", " \tchunked "].map((value) =>
      toResponse(content, `Transfer-Encoding: ${value}`, chunks)
    ),
    ...[`000${body.length}`, ` \t${body.length} `].map((value) =>
      toResponse(content, `Content-Length: ${value}`, body)
    ),
    toResponse(content, "Connection: close", body),
    toResponse(content, "X-No: length", body),
    toResponse(content, "Transfer-Encoding: identity", body),
  ];
}

function formatSound(content: ResponseContent): string {
  const { body } = content;
  return toResponse(content, formatLength(body), body).text;
}

function formatLength({ length }: string): string {
  return `Content-Length: ${length}`;
}

function formatChunks(body: string): string {
  return `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

function toResponse(
  { headers }: ResponseContent,
  framing: string,
  bytes: string,
): ResponseBytes {
  const head = [SOUND_STATUS_LINE, ...headers, framing].join("\r\n");
  return {
    title: JSON.stringify(framing),
    text: `${head}\r\n\r\n${bytes}`,
  };
}

function toBytes(
  sound: string,
  { status }: { readonly status: string },
): ResponseBytes {
  return toTitled(sound.replace(SOUND_STATUS_LINE, () => status));
}

/** Inserts a line behind the first status line. */
function insertField(text: string, line: string): ResponseBytes {
  return {
    title: JSON.stringify(line.slice(0, 60)),
    text: text.replace("\r\n", () => `\r\n${line}\r\n`),
  };
}

/** A head that is rare or spoilt is its own best title. */
function toTitled(text: string): ResponseBytes {
  return { title: JSON.stringify(text.slice(0, 60)), text };
}
