/**
 * Corrects load reports by the requests of this host.
 * @module
 */
import type { EngineCandidate } from "./engine_candidate.ts";
import type { InFlightLedger } from "./in_flight_ledger.ts";

/**
 * Returns the estimated number of requests on an engine: the last reported
 * number, corrected by the requests that this host started and ended since, and
 * at least the number of requests that this host has in flight there.
 *
 * @example
 * ```ts
 * const load = computeCorrectedLoad(candidate, inFlight);
 * ```
 * @param candidate - The engine.
 * @param inFlight - The requests of this host.
 */
export function computeCorrectedLoad(
  candidate: EngineCandidate,
  inFlight: InFlightLedger,
): number {
  const { id, report } = candidate;
  const localRequests = inFlight.getOpen(id);
  if (report === undefined) {
    return localRequests;
  }
  const change = inFlight.getChangeSince(id, report.asOfMs);
  return Math.max(localRequests, report.running + report.queued + change);
}
