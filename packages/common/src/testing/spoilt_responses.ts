/**
 * Lists all responses that no reader may take for one.
 * @module
 */
import type { ResponseBytes, ResponseContent } from "./response_bytes.ts";
import {
  listEncodedResponses,
  listSpoiltChunks,
  listSpoiltFramings,
  listUnnamedChunks,
} from "./spoilt_bodies.ts";
import { listSpoiltFields, listSpoiltStatusLines } from "./spoilt_heads.ts";

/**
 * Lists all responses that no reader may take for one.
 *
 * @example
 * ```ts
 * const [spoilt] = listSpoiltResponses({ headers: [], body: "body" });
 * ```
 * @param content - What each response holds.
 */
export function listSpoiltResponses(
  content: ResponseContent,
): readonly ResponseBytes[] {
  return [
    listSpoiltStatusLines,
    listSpoiltFields,
    listSpoiltFramings,
    listEncodedResponses,
    listUnnamedChunks,
    listSpoiltChunks,
  ].flatMap((list) => list(content));
}
