/**
 * Splits a stream of bytes into lines. An unterminated line must not be
 * returned, because it may be truncated.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { TextDecoder } from "node:util";

/**
 * Options of {@link readLines}: the line limit, and the port and operation
 * reported in errors.
 */
export interface LineReaderOptions {
  readonly port: string;
  readonly operation: string;
  readonly maxLineBytes: number;
}

/**
 * Yields the non-blank lines of a stream without their line ends; drops a last
 * line without a line end, because it was truncated.
 *
 * @example
 * ```ts
 * for await (const line of readLines(response.body, options)) { lines.push(line); }
 * ```
 * @param chunks - The bytes of the stream.
 * @param options - The line limit and the source of the stream.
 */
export async function* readLines(
  chunks: AsyncIterable<Uint8Array>,
  options: LineReaderOptions,
): AsyncIterable<string> {
  for await (const lines of readLineBatches(chunks, options)) {
    yield* lines;
  }
}

/**
 * Yields the lines of a stream as {@link readLines} does, but as one batch per
 * chunk of bytes.
 *
 * @example
 * ```ts
 * for await (const lines of readLineBatches(response.body, options)) { lines.forEach(handleLine); }
 * ```
 * @param chunks - The bytes of the stream.
 * @param options - The line limit and the source of the stream.
 */
export async function* readLineBatches(
  chunks: AsyncIterable<Uint8Array>,
  options: LineReaderOptions,
): AsyncIterable<readonly string[]> {
  const decoder = new TextDecoder("utf-8", { fatal: true });
  let partialLine = "";
  for await (const chunk of chunks) {
    const lines = (partialLine + decodeChunk(decoder, chunk, options)).split(
      "\n",
    );
    partialLine = lines.pop() ?? "";
    throwIfTooLong(partialLine, options);
    yield lines.filter((line) => line.trim() !== "");
  }
}

function decodeChunk(
  decoder: TextDecoder,
  chunk: Uint8Array,
  options: LineReaderOptions,
): string {
  try {
    return decoder.decode(chunk, { stream: true });
  } catch (error) {
    throw createError("the stream is not valid UTF-8", options, error);
  }
}

function throwIfTooLong(partialLine: string, options: LineReaderOptions): void {
  if (partialLine.length > options.maxLineBytes) {
    throw createError(
      `a line of the stream exceeds the limit of ${options.maxLineBytes} bytes`,
      options,
    );
  }
}

function createError(
  message: string,
  { port, operation }: LineReaderOptions,
  cause?: unknown,
): Error {
  return new PortError(message, {
    ...(cause === undefined ? {} : { cause }),
    props: { port, operation, fault: "malformed", outcome: "ran" },
  });
}
