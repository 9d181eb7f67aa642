/**
 * Encodes and decodes the headers of calls that one host passes on to another
 * for its caller. They must never reach an endpoint or a caller.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";

/** Marks a call passed on by another host. */
const FORWARDED_HEADER = "Briarhill-Forwarded";
/** The number of attempts that the receiving host may make. */
const ATTEMPTS_HEADER = "Briarhill-Attempts";
/** The outcome of a live call at the receiving host: its kind, and the endpoint or the reason. */
const OUTCOME_HEADER = "Briarhill-Outcome";
const HOP_HEADERS: ReadonlySet<string> = new Set(
  [FORWARDED_HEADER, ATTEMPTS_HEADER, OUTCOME_HEADER].map((name) =>
    name.toLowerCase()
  ),
);

/** What the receiving host says of a live call. */
export type HopOutcome =
  | { readonly kind: "answered"; readonly endpoint: string }
  | { readonly kind: "refused" | "failed"; readonly reason: string };

/**
 * Returns the headers that mark a call as passed on.
 *
 * @example
 * ```ts
 * const headers = encodeHopHeaders({ attempts: 2 });
 * ```
 * @param options - The number of attempts that the other host may make, for live calls.
 */
export function encodeHopHeaders(
  options: { readonly attempts?: number } = {},
): readonly string[] {
  return [
    FORWARDED_HEADER,
    "1",
    ...(options.attempts === undefined
      ? []
      : [ATTEMPTS_HEADER, String(options.attempts)]),
  ];
}

/**
 * Returns whether a call was passed on by another host.
 *
 * @example
 * ```ts
 * const isForwarded = isForwardedCall({ "briarhill-forwarded": "1" });
 * ```
 * @param headers - The headers of the call.
 */
export function isForwardedCall(headers: IncomingHttpHeaders): boolean {
  return headers[FORWARDED_HEADER.toLowerCase()] !== undefined;
}

/**
 * Returns the number of attempts that this host may make for a call that was
 * passed on; at least 1.
 *
 * @example
 * ```ts
 * const attempts = decodeAttempts({ "briarhill-attempts": "2" });
 * ```
 * @param headers - The headers of the call.
 */
export function decodeAttempts(headers: IncomingHttpHeaders): number {
  const attempts = Number(headers[ATTEMPTS_HEADER.toLowerCase()]);
  return Number.isSafeInteger(attempts) && attempts > 0 ? attempts : 1;
}

/**
 * Returns the name and value of the header that tells the outcome of a call.
 *
 * @example
 * ```ts
 * const [name, value] = encodeOutcome({ kind: "refused", reason: "full" });
 * ```
 * @param outcome - The outcome.
 */
export function encodeOutcome(
  outcome: HopOutcome,
): readonly [name: string, value: string] {
  const detail = outcome.kind === "answered"
    ? outcome.endpoint
    : outcome.reason;
  return [OUTCOME_HEADER, `${outcome.kind} ${detail}`];
}

/**
 * Decodes the outcome of a call; undefined if the other host has not decided
 * one, as it did not handle the call as a live call.
 *
 * @example
 * ```ts
 * const outcome = decodeOutcome({ "briarhill-outcome": "answered i-1" });
 * ```
 * @param headers - The headers of the other host's response.
 */
export function decodeOutcome(
  headers: IncomingHttpHeaders,
): HopOutcome | undefined {
  const value = headers[OUTCOME_HEADER.toLowerCase()];
  const [kind, ...rest] = (typeof value === "string" ? value : "").split(" ");
  const detail = rest.join(" ");
  switch (kind) {
    case "answered":
      return { kind, endpoint: detail };
    case "refused":
    case "failed":
      return { kind, reason: detail };
    default:
      return undefined;
  }
}

/**
 * Returns headers without those that only hosts exchange.
 *
 * @example
 * ```ts
 * const headers = dropHopHeaders(["Host", "a.example", "Briarhill-Forwarded", "1"]);
 * ```
 * @param rawHeaders - Alternating names and values.
 */
export function dropHopHeaders(
  rawHeaders: readonly string[],
): readonly string[] {
  return rawHeaders.filter((_, index) =>
    !HOP_HEADERS.has((rawHeaders[index - index % 2] ?? "").toLowerCase())
  );
}
