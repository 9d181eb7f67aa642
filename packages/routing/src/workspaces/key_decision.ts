/**
 * Decides whether a host accepts a key, by the age of its configuration.
 *
 * Load pattern: keys are added and removed in series while some hosts are cut off
 * from the store, wake from a suspension or start again. Their callers bring keys
 * that only a newer configuration has, at the full rate of the service, while every
 * read of the store takes long or fails. A valid key must not be answered with a
 * final status, and the store must not get one read for each request.
 * @module
 */

/**
 * The age up to which a host counts its configuration as the newest one, in
 * milliseconds: a host that follows the shared log confirms it more often.
 */
const CURRENT_MAX_AGE_MS = 1_100;

/** What an operator has set for keys that were removed. */
export interface RevocationPolicy {
  /** The time within which a removed key has to be refused, in milliseconds; Infinity without a bound. */
  readonly revocationMs: number;
  /** Whether a host that can't tell whether a key was removed refuses it. */
  readonly isFailClosed: boolean;
}

/** What a host knows about a key. */
export interface KeyKnowledge {
  /** Whether the host's configuration holds the key, or needs none for the request. */
  readonly isKnown: boolean;
  /** The time since the host's configuration was last confirmed, in milliseconds. */
  readonly ageMs: number;
  /** Whether reading the shared log again may tell more. */
  readonly canRead: boolean;
}

/** "read" if the configuration has to be read again first; "unavailable" if the host can't tell. */
export type KeyDecision = "accepted" | "rejected" | "read" | "unavailable";

/**
 * Decides whether a host accepts a key.
 *
 * @example
 * ```ts
 * const decision = decideKey(
 *   { isKnown: false, ageMs: 300, canRead: true },
 *   { revocationMs: 5_000, isFailClosed: false },
 * );
 * ```
 * @param knowledge - What the host knows about the key.
 * @param policy - What the operator has set for removed keys.
 */
export function decideKey(
  { isKnown, ageMs, canRead }: KeyKnowledge,
  { revocationMs, isFailClosed }: RevocationPolicy,
): KeyDecision {
  const maxAgeMs = isKnown ? revocationMs : CURRENT_MAX_AGE_MS;
  if (ageMs <= maxAgeMs) {
    return isKnown ? "accepted" : "rejected";
  }
  if (canRead) {
    return "read";
  }
  return isKnown && !isFailClosed ? "accepted" : "unavailable";
}
