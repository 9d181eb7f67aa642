/**
 * Decides which callers may use a lot: those of the workspace that submitted it.
 * @module
 */
import type { LotRequest } from "./lot_request.ts";

/**
 * Returns whether callers of a workspace may use a lot. A lot without a workspace
 * was accepted when requests needed no key, or by an older host.
 *
 * @example
 * ```ts
 * const isAllowed = canUseLot({ workspace: "a" }, "b");
 * ```
 * @param lot - The lot.
 * @param workspace - The name of the caller's workspace; undefined if requests need no key.
 */
export function canUseLot(
  lot: Pick<LotRequest, "workspace">,
  workspace: string | undefined,
): boolean {
  return lot.workspace === undefined || workspace === undefined ||
    lot.workspace === workspace;
}
