/**
 * The rank of a sample's request at an engine.
 *
 * Load pattern: several trainers' steps arrive at once and fill all engines.
 * Where requests wait at an engine, those of the route with the higher
 * priority go first; where its memory runs out, they stay.
 * @module
 */

/** The rank of requests that name none is 5; the usual priority of a route is 1. */
const TOP_PRIORITY_URGENCY = 4;
const LEAST_URGENCY = 9;

/**
 * Returns the urgency of a route's samples, from 0 (first) to 9.
 *
 * @example
 * ```ts
 * const urgency = getSampleUrgency(1);
 * ```
 * @param priority - The route's priority; 0 is the highest.
 */
export function getSampleUrgency(priority: number): number {
  return Math.min(LEAST_URGENCY, TOP_PRIORITY_URGENCY + Math.max(0, priority));
}
