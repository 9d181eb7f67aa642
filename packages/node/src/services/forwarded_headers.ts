/**
 * Selects the headers that are forwarded between callers and services.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";

const EXCLUDED_HEADERS: ReadonlySet<string> = new Set([
  "authorization",
  "briarhill-non-idempotent",
  "connection",
  "content-length",
  "cookie",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Returns the headers to forward: all except hop-by-hop headers, the caller's
 * credentials and the headers that this service interprets itself.
 *
 * @example
 * ```ts
 * const headers = toForwardedHeaders(exchange.request.headers);
 * ```
 * @param headers - The headers as received.
 */
export function toForwardedHeaders(
  headers: IncomingHttpHeaders | Readonly<Record<string, string>>,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!EXCLUDED_HEADERS.has(name.toLowerCase()) && value !== undefined) {
      forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return forwarded;
}
