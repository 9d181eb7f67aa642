/**
 * Parses the lines of a generate stream that were read together. The fast path
 * must not accept a line that `GENERATE_CHUNK` rejects.
 * @module
 */
import { parseJsonOrUndefined } from "../http/json.ts";
import type { GenerateChunk } from "./engine.ts";
import { GENERATE_CHUNK } from "./engine_schema.ts";

/** The chunks parsed from a batch of lines, up to the first invalid line. */
export interface ParsedChunkLines {
  readonly chunks: readonly GenerateChunk[];
  /**
   * The first line that is not a valid chunk; absent if all lines are valid.
   */
  readonly invalidLine?: string;
}

/**
 * Parses a batch of lines as one JSON array, which costs less than parsing each
 * line separately; falls back to parsing line by line if that fails.
 *
 * @example
 * ```ts
 * const { chunks, invalidLine } = parseChunkLines(lines);
 * ```
 * @param lines - The lines, without line ends.
 */
export function parseChunkLines(lines: readonly string[]): ParsedChunkLines {
  const parsedList = parseJsonOrUndefined(`[${lines.join(",")}]`);
  if (isChunkList(parsedList) && parsedList.length === lines.length) {
    return { chunks: parsedList };
  }
  const chunks: GenerateChunk[] = [];
  for (const line of lines) {
    const result = GENERATE_CHUNK.safeParse(parseJsonOrUndefined(line));
    if (!result.success) {
      return { chunks, invalidLine: line };
    }
    chunks.push(result.data);
  }
  return { chunks };
}

function isChunkList(value: unknown): value is readonly GenerateChunk[] {
  return Array.isArray(value) && value.every(isValidChunk);
}

/**
 * Returns true only for values that `GENERATE_CHUNK` accepts, at a fraction of
 * its cost.
 */
function isValidChunk(value: unknown): boolean {
  if (typeof value !== "object" || value === null) {
    return false;
  }
  const { requestId, fromToken, tokens, version, finishReason } =
    value as Readonly<Record<string, unknown>>;
  return typeof requestId === "string" && isCount(fromToken) &&
    Array.isArray(tokens) && tokens.every(isString) &&
    (version === undefined || isCount(version)) &&
    (finishReason === undefined || finishReason === "stop" ||
      finishReason === "length");
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isString(value: unknown): boolean {
  return typeof value === "string";
}
