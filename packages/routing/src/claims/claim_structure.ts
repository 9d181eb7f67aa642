/**
 * Claims of non-idempotent calls and their encoding in the log.
 * @module
 */
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";

/** Identifies one attempt to run a call; each repeat of a key has its own id. */
export type CallId = string;

/** A host's claim to run the call of a key. */
export interface ClaimStructure {
  readonly callId: CallId;
  /** Hash of customer, service and idempotency key. */
  readonly keyHash: string;
  /** Host that runs the call if the claim wins. */
  readonly holder: HostId;
  readonly incarnation: Incarnation;
  /** Claim whose holder reported that its call was not run and never will be. */
  readonly supersedes?: CallId;
}

/** Result of a claim. */
export type ClaimVerdict =
  | { readonly kind: "won" }
  /** Another call claimed the key first. */
  | { readonly kind: "lost"; readonly owner: ClaimStructure }
  /** Another call claimed the key first; its claim is no longer retained. */
  | { readonly kind: "repeated" }
  /** The claim was not settled before the timeout; the call must never be sent. */
  | { readonly kind: "unsettled" };

/** Number of log streams over which claims are partitioned by key. */
export const CLAIM_STREAMS = 16;

/**
 * Returns the log stream that holds the claims of a key.
 *
 * @example
 * ```ts
 * const stream = getClaimStream(claim.keyHash); // "claims-2"
 * ```
 * @param keyHash - The hash of the key, in hexadecimal.
 */
export function getClaimStream(keyHash: string): string {
  return `claims-${Number.parseInt(keyHash.slice(0, 4), 16) % CLAIM_STREAMS}`;
}

/**
 * Encodes claims as the text of one log record.
 *
 * @example
 * ```ts
 * await log.append(stream, encodeClaims(batch));
 * ```
 * @param claims - The claims to encode.
 */
export function encodeClaims(claims: readonly ClaimStructure[]): string {
  return JSON.stringify(claims.map((claim) => [
    claim.callId,
    claim.keyHash,
    claim.holder,
    claim.incarnation,
    ...(claim.supersedes === undefined ? [] : [claim.supersedes]),
  ]));
}

/**
 * Decodes the text of a log record. Entries that are not valid claims are
 * skipped; every reader must skip the same ones.
 *
 * @example
 * ```ts
 * const claims = decodeClaims(record.value);
 * ```
 * @param text - The record's text.
 */
export function decodeClaims(text: string): readonly ClaimStructure[] {
  const parsed = parseOrUndefined(text);
  return Array.isArray(parsed)
    ? parsed.map(toClaim).filter((claim) => claim !== undefined)
    : [];
}

function toClaim(value: unknown): ClaimStructure | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [callId, keyHash, holder, incarnation, supersedes] = value as unknown[];
  const isClaim = typeof callId === "string" && typeof keyHash === "string" &&
    typeof holder === "string" && typeof incarnation === "number";
  if (!isClaim) {
    return undefined;
  }
  return {
    callId,
    keyHash,
    holder,
    incarnation,
    ...(typeof supersedes === "string" ? { supersedes } : {}),
  };
}

function parseOrUndefined(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
