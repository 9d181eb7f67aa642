/**
 * Counts the servers of a service in each failure domain.
 * @module
 */
import type { ScalingTerms } from "@briarhill/common/scaling/scaling_terms";
import type { ServerOrderBook } from "@briarhill/control/scaling/server_order_book";
import type { ServerPool } from "@briarhill/control/scaling/server_plan";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { ServiceStructure } from "@briarhill/routing/table/route";

/** A service whose number of servers may change. */
export interface ScaledService extends ServiceStructure {
  readonly scaling: ScalingTerms;
}

/**
 * Returns the servers of each failure domain that are there or were ordered.
 *
 * @example
 * ```ts
 * declare const service: ScaledService;
 * declare const orders: ServerOrderBook;
 *
 * const pools = listServerPools([], { service, orders, nowMs: 0 });
 * ```
 * @param servers - The servers of the service that stay.
 * @param options - The service, the numbers that were ordered, and the current time on the monotonic clock.
 */
export function listServerPools(
  servers: readonly EndpointStructure[],
  options: {
    readonly service: ScaledService;
    readonly orders: ServerOrderBook;
    readonly nowMs: number;
  },
): readonly ServerPool[] {
  const { name, scaling } = options.service;
  return [...scaling.domainPrices.keys()].map((failureDomain) => {
    const countExpected = (isReclaimable: boolean) =>
      options.orders.getExpected(
        { service: name, failureDomain, isReclaimable },
        {
          count: servers.filter((server) =>
            server.failureDomain === failureDomain &&
            (server.isReclaimable ?? false) === isReclaimable
          ).length,
          bootMs: scaling.bootMs,
          nowMs: options.nowMs,
        },
      );
    return {
      failureDomain,
      lastingCount: countExpected(false),
      reclaimableCount: countExpected(true),
    };
  });
}
