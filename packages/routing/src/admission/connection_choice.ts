/**
 * Decides which connection closes so that another one can be accepted.
 *
 * Load pattern: clients open connections in numbers; most send nothing, part of
 * a head or part of a body, and stay. Ordinary clients open new connections beside
 * them and send a whole request at once.
 * @module
 */

/**
 * What a connection does: "silent" ones have sent nothing yet; "head" ones part of
 * a head; "stalled" ones have neither sent nor read what is due for a while; "idle"
 * ones have got all their responses; "busy" ones wait for a response.
 */
export type ConnectionState = "silent" | "head" | "stalled" | "idle" | "busy";

/** What is known of a connection. */
export interface ConnectionStructure {
  readonly state: ConnectionState;
  /** The time at which it entered its state, on the monotonic clock. */
  readonly sinceMs: number;
}

/** The states of connections that may be closed, in the order in which they give way. */
const YIELDING: readonly ConnectionState[] = [
  "silent",
  "head",
  "stalled",
  "idle",
];

/**
 * Returns the index of the connection that gives way to a new one; -1 if none does.
 * Of several in the same state it is the one that has been in it for longest.
 *
 * @example
 * ```ts
 * const index = pickYielding([{ state: "idle", sinceMs: 0 }]);
 * ```
 * @param connections - The open connections.
 */
export function pickYielding(
  connections: readonly ConnectionStructure[],
): number {
  let picked = -1;
  let pickedRank = YIELDING.length;
  let pickedSinceMs = Infinity;
  connections.forEach(({ state, sinceMs }, index) => {
    const rank = YIELDING.indexOf(state);
    const isBefore = rank < pickedRank ||
      (rank === pickedRank && sinceMs < pickedSinceMs);
    if (rank >= 0 && isBefore) {
      [picked, pickedRank, pickedSinceMs] = [index, rank, sinceMs];
    }
  });
  return picked;
}
