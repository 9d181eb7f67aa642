/**
 * Lines of a stream of bytes.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import { TextDecoder } from "node:util";

/** The limits on lines, and who reads them. */
export interface LineOptions {
  readonly port: string;
  readonly operation: string;
  readonly maxLineBytes: number;
}

/**
 * Yields the lines of a stream without their ends; a last line without an end
 * was cut off and is dropped.
 *
 * @example
 * ```ts
 * for await (const line of readLines(reply.body, options)) { lines.push(line); }
 * ```
 * @param parts - The bytes.
 * @param options - The limits.
 */
export async function* readLines(
  parts: AsyncIterable<Uint8Array>,
  options: LineOptions,
): AsyncIterable<string> {
  for await (const lines of readLineLists(parts, options)) {
    yield* lines;
  }
}

/**
 * Yields the lines of a stream as {@link readLines} does, those that arrive
 * together as one list.
 *
 * @example
 * ```ts
 * for await (const lines of readLineLists(reply.body, options)) { lines.forEach(handleLine); }
 * ```
 * @param parts - The bytes.
 * @param options - The limits.
 */
export async function* readLineLists(
  parts: AsyncIterable<Uint8Array>,
  options: LineOptions,
): AsyncIterable<readonly string[]> {
  const decoder = new TextDecoder("utf-8", { fatal: true });
  let rest = "";
  for await (const part of parts) {
    const lines = (rest + decodePart(decoder, part, options)).split("\n");
    rest = lines.pop() ?? "";
    throwIfTooLong(rest, options);
    yield lines.filter((line) => line.trim() !== "");
  }
}

function decodePart(
  decoder: TextDecoder,
  part: Uint8Array,
  options: LineOptions,
): string {
  try {
    return decoder.decode(part, { stream: true });
  } catch (error) {
    throw createError("the text is not UTF-8", options, error);
  }
}

function throwIfTooLong(rest: string, options: LineOptions): void {
  if (rest.length > options.maxLineBytes) {
    throw createError(
      `a line is longer than ${options.maxLineBytes} bytes`,
      options,
    );
  }
}

function createError(
  message: string,
  { port, operation }: LineOptions,
  cause?: unknown,
): Error {
  return new PortError(message, {
    ...(cause === undefined ? {} : { cause }),
    props: { port, operation, fault: "malformed", outcome: "ran" },
  });
}
