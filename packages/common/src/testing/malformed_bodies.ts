/**
 * Lists responses whose body is framed or encoded in a way that readers must reject.
 * @module
 */
import {
  createFramed,
  createTitled,
  EARLY,
  formatChunks,
  formatSound,
  insertLine,
  MALFORMED_LINE_ENDS,
  type ResponseBytes,
  type ResponseContent,
} from "./response_bytes.ts";

const CHUNKED = "Transfer-Encoding: chunked";
/** Framings of a body in chunks. */
const MALFORMED_CODINGS = [
  ...["", "gzip", "x", "chunke", "chunked, gzip", "chunked,", "chunked;q=1"],
  ...["gzip, chunked", "chunked, chunked", "chunked\t", "\xffchunked"],
  ...["gzip\r\nTransfer-Encoding: chunked"],
  ...["chunked\r\nTransfer-Encoding: chunked"],
  ...["chunked\r\nTransfer-Encoding: gzip"],
].map((value) => `Transfer-Encoding: ${value}`);
/** Framings of a body whose length is N. */
const MALFORMED_LENGTHS = [
  ...["+N", "-N", "0xN", "N.0", "", "N N", "N, N", "N;", "9".repeat(20)],
  ...["N\r\nContent-Length: N", "N\r\nContent-Length: 5"],
  ...[`N\r\n${CHUNKED}`, "N\r\nTransfer-Encoding: identity"],
].map((value) => `Content-Length: ${value}`);
/** First lines of chunks whose size is N. */
const MALFORMED_SIZES = [
  ...["-N", "0xN", "", " N", "N ", "g", "N;\x01", "N;\x7f", "N x"],
  ...["f".repeat(17), ";a", "1"],
];
const MALFORMED_TRAILERS = [
  ...["X A: b", ": b", "XA : b", "XA", "X\x01A: b", "XA: b\x00", " XA: b"],
  ...["XA: b\r\n c", "Content-Length: 4", "Transfer-Encoding: gzip"],
  "Content-Encoding: gzip",
  ...MALFORMED_LINE_ENDS.map((end) => `XA: b${end}XB: c`),
];

/**
 * Lists responses whose head frames the body ambiguously.
 *
 * @example
 * ```ts
 * const [malformed] = listMalformedFramings({ headers: [], body: "body" });
 * ```
 * @param content - What each response holds.
 */
export function listMalformedFramings(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const length = String(content.body.length);
  const inChunks = { ...content, body: formatChunks(content.body) };
  const sound = formatSound(content);
  const chunked = createFramed(inChunks, CHUNKED).text;
  return [
    ...MALFORMED_CODINGS.map((field) => createFramed(inChunks, field)),
    ...MALFORMED_LENGTHS.map((field) =>
      createFramed(content, field.replaceAll("N", length))
    ),
    createTitled(chunked.replace("1.1", "1.0")),
    createTitled(sound.replace("200", "204")),
    createTitled(chunked.replace("200", "204")),
    insertLine(EARLY + sound, `Content-Length: ${length}`),
    insertLine(EARLY + sound, CHUNKED),
  ];
}

/**
 * Lists responses whose body is said to be encoded, which no request asks for.
 *
 * @example
 * ```ts
 * const [encoded] = listEncodedResponses({ headers: [], body: "body" });
 * ```
 * @param content - What each response holds.
 */
export function listEncodedResponses(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const sound = formatSound(content);
  return ["gzip", "identity", "", "x, y"].map((encoding) =>
    insertLine(sound, `content-Encoding: ${encoding}`)
  );
}

/**
 * Lists responses in chunks that the head does not declare, as the name of the field
 * is misspelled.
 *
 * @example
 * ```ts
 * const [undeclared] = listUndeclaredChunks({ headers: [], body: "body" });
 * ```
 * @param content - What each response holds.
 */
export function listUndeclaredChunks(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const inChunks = { ...content, body: formatChunks(content.body) };
  return [
    ...["Transfer-Encodinh", "Xransfer-Encoding", "Transfer-Encodng"],
    ...["Transfer_Encoding", "TransferXX-Encoding"],
  ].flatMap((name) =>
    ["Connection: close", "Connection: keep-alive"].map((field) =>
      createFramed(inChunks, `${name}: chunked\r\n${field}`)
    )
  );
}

/**
 * Lists responses whose chunks or trailers are malformed.
 *
 * @example
 * ```ts
 * const [malformed] = listMalformedChunks({ headers: [], body: "body" });
 * ```
 * @param content - What each response holds.
 */
export function listMalformedChunks(
  content: ResponseContent,
): readonly ResponseBytes[] {
  const sound = formatChunks(content.body);
  const size = content.body.length.toString(16);
  const rest = sound.slice(size.length);
  return [
    ...MALFORMED_SIZES.map((line) => line.replace("N", size) + rest),
    ...MALFORMED_TRAILERS.map((line) =>
      sound.slice(0, -"\r\n".length) + `${line}\r\n\r\n`
    ),
    ...listMalformedEnds(sound),
  ].map((chunks) => {
    const { text } = createFramed({ ...content, body: chunks }, CHUNKED);
    return createTitled(text, chunks);
  });
}

/** Lists chunks with one malformed line end. */
function listMalformedEnds(chunks: string): readonly string[] {
  return [...chunks.matchAll(/\r\n/g)].flatMap(({ index }) =>
    MALFORMED_LINE_ENDS.map((end) =>
      chunks.slice(0, index) + end + chunks.slice(index + 2)
    )
  ).filter((malformed) => !chunks.startsWith(malformed));
}
