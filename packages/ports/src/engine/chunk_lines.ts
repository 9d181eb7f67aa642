/**
 * The chunks of lines that arrived together.
 * @module
 */
import { parseOrUndefined } from "../http/json.ts";
import type { GenerateChunk } from "./engine.ts";
import { GENERATE_CHUNK } from "./engine_schema.ts";

/** The chunks of lines up to one that is none. */
export interface ChunkLines {
  readonly chunks: readonly GenerateChunk[];
  /** The first line that is no chunk. */
  readonly failed?: string;
}

/**
 * Parses lines that arrived together as one JSON text, which costs less than
 * one text a line; only if that fails, each line is looked at by itself.
 *
 * @example
 * ```ts
 * const { chunks, failed } = parseChunkLines(lines);
 * ```
 * @param lines - The lines.
 */
export function parseChunkLines(lines: readonly string[]): ChunkLines {
  const whole = parseOrUndefined(`[${lines.join(",")}]`);
  if (isChunkList(whole) && whole.length === lines.length) {
    return { chunks: whole };
  }
  const chunks: GenerateChunk[] = [];
  for (const line of lines) {
    const one = GENERATE_CHUNK.safeParse(parseOrUndefined(line));
    if (!one.success) {
      return { chunks, failed: line };
    }
    chunks.push(one.data);
  }
  return { chunks };
}

function isChunkList(value: unknown): value is readonly GenerateChunk[] {
  return Array.isArray(value) && value.every(isPlainChunk);
}

/** Accepts nothing that the schema does not, at a fraction of its cost. */
function isPlainChunk(value: unknown): boolean {
  if (typeof value !== "object" || value === null) {
    return false;
  }
  const { requestId, fromToken, tokens, version, finishReason } =
    value as Readonly<Record<string, unknown>>;
  return typeof requestId === "string" && isCount(fromToken) &&
    Array.isArray(tokens) && tokens.every(isText) &&
    (version === undefined || isCount(version)) &&
    (finishReason === undefined || finishReason === "stop" ||
      finishReason === "length");
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isText(value: unknown): boolean {
  return typeof value === "string";
}
