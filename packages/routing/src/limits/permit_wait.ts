/**
 * Computes when a request for a permit would be served.
 * @module
 */
import type { FlowUsage } from "./flow_usage.ts";
import type { PermitRequest } from "./permit.ts";
import type { TokenBucket } from "./token_bucket.ts";

/** Options of {@link computeReadyAtMs}. */
export interface PermitWaitOptions {
  readonly waiting: readonly PermitRequest[];
  /** The buckets of the request's endpoints. */
  readonly buckets: readonly TokenBucket[];
  readonly usage: FlowUsage;
  readonly nowMs: number;
}

/**
 * Returns the time at which a request would be served, from the requests that go
 * before it and the tokens of its endpoints; infinite without endpoints.
 *
 * @example
 * ```ts
 * declare const request: PermitRequest;
 * declare const options: PermitWaitOptions;
 *
 * const atMs = computeReadyAtMs(request, options);
 * ```
 * @param request - The request.
 * @param options - What the wait depends on.
 */
export function computeReadyAtMs(
  request: PermitRequest,
  options: PermitWaitOptions,
): number {
  const { buckets, nowMs } = options;
  const taken = buckets.map(() => 0);
  let readyAtMs = Infinity;
  for (let served = countAhead(request, options); served >= 0; served--) {
    const times = buckets.map((bucket, index) =>
      bucket.getReadyAtMs((taken[index] ?? 0) + 1, nowMs)
    );
    readyAtMs = Math.min(Infinity, ...times);
    const index = times.indexOf(readyAtMs);
    taken[index] = (taken[index] ?? 0) + 1;
  }
  return readyAtMs;
}

/** Counts the waiting requests that are likely to be served before a new one. */
function countAhead(
  request: PermitRequest,
  { waiting, usage, nowMs }: PermitWaitOptions,
): number {
  const ahead = waiting.filter((other) =>
    !usage.isServedBefore(request, other, nowMs)
  );
  const own = ahead.filter(({ flow }) => flow === request.flow).length;
  const urgent =
    ahead.filter(({ flow, priority }) =>
      flow !== request.flow && priority < request.priority
    ).length;
  // Flows of equal priority take turns.
  return own + urgent + Math.min(ahead.length - own - urgent, own + 1);
}
