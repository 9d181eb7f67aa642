/**
 * Decides which process runs a lot.
 *
 * Under load, the group assigns shards to other hosts at every stop, start and
 * loss of a host, and at times all of them at once. Attempts that moved with
 * their shard would be interrupted and started from scratch each time. A lot
 * therefore stays with the process that has claimed it for as long as that
 * process runs it; the new owner of the shard asks that process, and takes the
 * lot over if it does not run the lot.
 * @module
 */
import type { OpenLotEntry } from "./open_lots.ts";

const SEPARATOR = "/";

/**
 * What the owner of a lot's shard does: run the lot, or first ask the host that
 * has claimed it.
 */
export type ClaimDecision =
  | { readonly kind: "run" }
  | { readonly kind: "ask"; readonly host: string };

/**
 * Decides whether the owner of a shard may run a lot at once.
 *
 * @example
 * ```ts
 * const decision = decideClaim({ lot: "a", partition: 3 }, "10.0.0.1/5e07");
 * ```
 * @param entry - The lot.
 * @param self - The id of this process.
 */
export function decideClaim(
  { owner }: OpenLotEntry,
  self: string,
): ClaimDecision {
  const host = parseHost(owner ?? self);
  // An earlier process of the same host no longer runs anything.
  return host === parseHost(self) ? { kind: "run" } : { kind: "ask", host };
}

/** The process that runs a lot, and the process that had claimed the lot before. */
export interface LotClaim {
  readonly self: string;
  readonly previousOwner: string | undefined;
}

/**
 * Returns whether another process has taken over a lot that this process runs.
 *
 * @example
 * ```ts
 * const claim = { self: "10.0.0.1/5e07", previousOwner: undefined };
 * const isTaken = isTakenOver({ lot: "a", partition: 3 }, claim);
 * ```
 * @param entry - The lot, as its shard records it now.
 * @param claim - The claim of this process, which the shard may not have recorded yet.
 */
export function isTakenOver(
  { owner }: OpenLotEntry,
  { self, previousOwner }: LotClaim,
): boolean {
  return owner !== undefined && owner !== self && owner !== previousOwner;
}

function parseHost(process: string): string {
  return process.split(SEPARATOR, 1)[0] ?? process;
}
