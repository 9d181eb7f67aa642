/**
 * Identifies a request by its content, so that it is recognized when it comes again
 * at another host under another attempt id. The digest must be the same at all
 * hosts and must not disclose the body.
 * @module
 */
import { AUTHORIZATION, TENANT } from "@briarhill/platform/names/headers";
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** The size of a digest, in hexadecimal characters: 128 bits. */
const DIGEST_CHARACTERS = 32;

/** The content of a request. */
export interface RequestContent {
  readonly method: string;
  /** The path with the query. */
  readonly path: string;
  /** Header names and values, alternating. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/**
 * Returns the digest of a request's method, host, path, caller (its workspace, else its credentials) and body.
 *
 * @example
 * ```ts
 * const digest = hashRequest({
 *   method: "POST",
 *   path: "/app/q",
 *   rawHeaders: ["Host", "a.example"],
 *   body: Buffer.from("{}"),
 * });
 * ```
 * @param content - The request.
 */
export function hashRequest(content: RequestContent): string {
  const { method, path, rawHeaders, body } = content;
  // All other headers may differ between attempts.
  const host = getValue(rawHeaders, "host");
  const caller = getValue(rawHeaders, TENANT) ||
    getValue(rawHeaders, AUTHORIZATION);
  // JSON separates the fields, so that no two requests have the same text.
  return createHash("sha256")
    .update(JSON.stringify([method, path, host, caller]))
    .update(body)
    .digest("hex")
    .slice(0, DIGEST_CHARACTERS);
}

function getValue(rawHeaders: readonly string[], name: string): string {
  const index = rawHeaders.findIndex((text, position) =>
    position % 2 === 0 && text.toLowerCase() === name.toLowerCase()
  );
  return index < 0 ? "" : rawHeaders[index + 1] ?? "";
}
