/**
 * Decodes what another host has made of a request that was passed on to it. A reply
 * may be "not-run" only if no endpoint can have run the request.
 * @module
 */
import type { HttpResponseHead } from "@briarhill/common/http/http_exchange";
import { UNREACHED_REASON } from "@briarhill/routing/reach/call_paths";
import { decodeOutcome, dropHopHeaders } from "../peers/hop_headers.ts";

const MS_PER_S = 1_000;
/** Statuses without an outcome by which a host says that it has no route or no configuration for the request yet. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([404, 503]);

/** What the other host has made of a request; its response if an endpoint has answered. */
export type RelayReply<Response> =
  | {
    readonly kind: "answered";
    readonly response: Response;
    readonly endpoint: string;
  }
  | {
    readonly kind: "not-run";
    readonly reason: string;
    readonly retryAfterMs: number | undefined;
  }
  | { readonly kind: "unknown"; readonly reason: string };

/**
 * Decodes the head of the other host's response.
 *
 * @example
 * ```ts
 * declare const head: HttpResponseHead;
 *
 * const { kind } = decodeRelayReply(head);
 * ```
 * @param head - The head of the response.
 */
export function decodeRelayReply(
  head: HttpResponseHead,
): RelayReply<HttpResponseHead> {
  const outcome = decodeOutcome(head.headers);
  if (outcome?.kind === "answered") {
    const response = { ...head, rawHeaders: dropHopHeaders(head.rawHeaders) };
    return { kind: "answered", response, endpoint: outcome.endpoint };
  }
  const isNotRun = outcome === undefined
    ? NOT_RUN_STATUSES.has(head.status)
    : outcome.kind === "refused";
  if (!isNotRun) {
    return { kind: "unknown", reason: outcome?.reason ?? "peer-failed" };
  }
  // Without an outcome, another host may have the configuration for the request already.
  const reason = outcome?.reason ?? UNREACHED_REASON;
  const retryAfterS = Number(head.headers["retry-after"] ?? NaN);
  const retryAfterMs = Number.isFinite(retryAfterS)
    ? MS_PER_S * retryAfterS
    : undefined;
  return { kind: "not-run", reason, retryAfterMs };
}
