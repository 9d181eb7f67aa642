/**
 * Decides whether a starting host has applied enough of the configuration log
 * to act on it. A host may not act on a configuration that is older than the
 * one it can learn from the log or from a peer.
 * @module
 */

/** How long a host whose log answers waits for the first response of a peer. */
const PEER_GRACE_PERIOD_MS = 2_000;

/** The offsets that a starting host has learned. */
export interface ReadinessInput {
  readonly appliedOffset: number;
  /** The highest end that the log has reported; undefined until it answers. */
  readonly logEnd: number | undefined;
  /** The highest offset that a peer reported; undefined until one answers. */
  readonly peerOffset: number | undefined;
  /** The number of peers that are known and alive. */
  readonly peers: number;
  readonly uptimeMs: number;
}

/**
 * Returns whether a host has applied the newest configuration that it knows to
 * exist. A stale replica of the log would let it act on an older state than its
 * peers have, so the offset of a peer is required as well.
 *
 * @example
 * ```ts
 * const ready = isConfigurationReady({
 *   appliedOffset: 7,
 *   logEnd: 8,
 *   peerOffset: 7,
 *   peers: 11,
 *   uptimeMs: 400,
 * });
 * ```
 * @param input - The offsets that the host has learned.
 */
export function isConfigurationReady(input: ReadinessInput): boolean {
  const { logEnd, peerOffset, appliedOffset } = input;
  if (logEnd === undefined && peerOffset === undefined) {
    return false;
  }
  const isPeerMissing = peerOffset === undefined && input.peers > 0 &&
    input.uptimeMs < PEER_GRACE_PERIOD_MS;
  const known = Math.max((logEnd ?? 0) - 1, peerOffset ?? -1);
  return !isPeerMissing && appliedOffset >= known;
}
