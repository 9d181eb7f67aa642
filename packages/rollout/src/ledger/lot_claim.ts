/**
 * Who runs a lot.
 *
 * Load pattern: the group assigns shards to other hosts at every stop, start
 * and loss of a host, and at times all of them at once. Runs that went along
 * with their shard would be cut and begun anew each time. A lot stays with the
 * process that has claimed it for as long as that process runs it; the new
 * owner of the shard asks it, and takes the lot over where it doesn't.
 * @module
 */
import type { OpenLotEntry } from "./open_lots.ts";

const SEPARATOR = "/";

/** What the owner of a lot's shard does: run the lot, or first ask the process that has claimed it. */
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
 * @param self - This process.
 */
export function decideClaim(
  { owner }: OpenLotEntry,
  self: string,
): ClaimDecision {
  const host = parseHost(owner ?? self);
  // An earlier process of the same host runs nothing any more.
  return host === parseHost(self) ? { kind: "run" } : { kind: "ask", host };
}

/** The process that runs a lot, and the one that had claimed it before. */
export interface LotClaim {
  readonly self: string;
  readonly before: string | undefined;
}

/**
 * Tells whether another process has taken a lot over that this one runs.
 *
 * @example
 * ```ts
 * const claim = { self: "10.0.0.1/5e07", before: undefined };
 * const isTaken = isTakenOver({ lot: "a", partition: 3 }, claim);
 * ```
 * @param entry - The lot, as its shard tells it now.
 * @param claim - The claim of this process, which the shard may not show yet.
 */
export function isTakenOver(
  { owner }: OpenLotEntry,
  { self, before }: LotClaim,
): boolean {
  return owner !== undefined && owner !== self && owner !== before;
}

function parseHost(process: string): string {
  return process.split(SEPARATOR, 1)[0] ?? process;
}
