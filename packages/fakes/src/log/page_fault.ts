/**
 * Faults in the order of a page's records.
 * @module
 */
import type { LogPage } from "@briarhill/ports/log/log_service";
import type { Fault } from "../faults/fault.ts";

/**
 * Returns a page in which one record comes twice, or after the one that
 * follows it.
 *
 * @example
 * ```ts
 * const page = addPageFault(whole, { operation: "read", kind: "repeated", afterChunks: 2 });
 * ```
 * @param page - The whole page.
 * @param fault - The fault, with the number of records that come before it; undefined for none.
 */
export function addPageFault(
  page: LogPage,
  fault: Fault | undefined,
): LogPage {
  if (fault === undefined) {
    return page;
  }
  const at = fault.afterChunks ?? 0;
  const hit = page.records.slice(at, at + 1);
  const others = page.records.toSpliced(at, hit.length);
  const place = fault.kind === "repeated" ? at : at + 1;
  const kept = fault.kind === "repeated" ? page.records : others;
  return { ...page, records: kept.toSpliced(place, 0, ...hit) };
}
