/**
 * Merges adjacent chunks of a generate stream. Merging must not change the
 * tokens, their offsets or the weight version of any token.
 * @module
 */
import type { GenerateChunk } from "./engine.ts";

/**
 * Merges contiguous chunks of the same request and weight version, so that the
 * reader of a fast stream handles fewer chunks.
 *
 * @example
 * ```ts
 * const [merged] = mergeChunks(chunks);
 * ```
 * @param chunks - The chunks in order of arrival.
 */
export function mergeChunks(
  chunks: readonly GenerateChunk[],
): readonly GenerateChunk[] {
  const merged: GenerateChunk[] = [];
  let start = 0;
  for (let end = 1; end <= chunks.length; end++) {
    if (!isContiguous(chunks[end - 1], chunks[end])) {
      merged.push(buildMergedChunk(chunks.slice(start, end)));
      start = end;
    }
  }
  return merged;
}

/**
 * Returns whether `next` can be merged into `chunk`; nothing continues a chunk
 * with a finish reason.
 */
function isContiguous(
  chunk: GenerateChunk | undefined,
  next: GenerateChunk | undefined,
): boolean {
  return chunk !== undefined && next !== undefined &&
    chunk.version === next.version && chunk.requestId === next.requestId &&
    chunk.finishReason === undefined &&
    next.fromToken === chunk.fromToken + chunk.tokens.length;
}

function buildMergedChunk(chunks: readonly GenerateChunk[]): GenerateChunk {
  const [first] = chunks as readonly [GenerateChunk];
  if (chunks.length === 1) {
    return first;
  }
  const tokens: string[] = [];
  for (const chunk of chunks) {
    tokens.push(...chunk.tokens);
  }
  const finishReason = chunks.at(-1)?.finishReason;
  return {
    ...first,
    tokens,
    ...(finishReason === undefined ? {} : { finishReason }),
  };
}
