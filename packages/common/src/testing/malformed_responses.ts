/**
 * Lists all responses that no reader may take for one.
 * @module
 */
import type { ResponseBytes, ResponseContent } from "./response_bytes.ts";
import {
  listEncodedResponses,
  listMalformedChunks,
  listMalformedFramings,
  listUndeclaredChunks,
} from "./malformed_bodies.ts";
import {
  listMalformedFields,
  listMalformedStatusLines,
} from "./malformed_heads.ts";

/**
 * Lists all responses that no reader may take for one.
 *
 * @example
 * ```ts
 * const [malformed] = listMalformedResponses({ headers: [], body: "body" });
 * ```
 * @param content - What each response holds.
 */
export function listMalformedResponses(
  content: ResponseContent,
): readonly ResponseBytes[] {
  return [
    listMalformedStatusLines,
    listMalformedFields,
    listMalformedFramings,
    listEncodedResponses,
    listUndeclaredChunks,
    listMalformedChunks,
  ].flatMap((list) => list(content));
}
