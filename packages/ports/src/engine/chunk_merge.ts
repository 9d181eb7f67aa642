/**
 * Merges chunks that arrived together.
 * @module
 */
import type { GenerateChunk } from "./engine.ts";

/**
 * Merges chunks that follow each other without a gap, belong to one request
 * and name the same version, so that whoever reads a fast stream handles fewer
 * of them.
 *
 * @example
 * ```ts
 * const [merged] = mergeChunks(chunks);
 * ```
 * @param chunks - The chunks in their order.
 */
export function mergeChunks(
  chunks: readonly GenerateChunk[],
): readonly GenerateChunk[] {
  const merged: GenerateChunk[] = [];
  let start = 0;
  for (let end = 1; end <= chunks.length; end++) {
    if (!isContinued(chunks[end - 1], chunks[end])) {
      merged.push(buildMerged(chunks.slice(start, end)));
      start = end;
    }
  }
  return merged;
}

/** Nothing follows the last chunk of a stream. */
function isContinued(
  chunk: GenerateChunk | undefined,
  next: GenerateChunk | undefined,
): boolean {
  return chunk !== undefined && next !== undefined &&
    chunk.version === next.version && chunk.requestId === next.requestId &&
    chunk.finishReason === undefined &&
    next.fromToken === chunk.fromToken + chunk.tokens.length;
}

function buildMerged(chunks: readonly GenerateChunk[]): GenerateChunk {
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
