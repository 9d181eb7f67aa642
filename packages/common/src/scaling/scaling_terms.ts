/**
 * The terms on which an operator lets the number of a service's servers change.
 * @module
 */

/** What the operator allows and pays for the servers of a service. */
export interface ScalingTerms {
  /** Minimum and maximum number of servers in a failure domain, both kinds together. */
  readonly minCount: number;
  readonly maxCount: number;
  /** Time from an order until its servers serve, in milliseconds. */
  readonly bootMs: number;
  /** Price of a reclaimable server relative to a lasting one; undefined if there are none. */
  readonly reclaimablePriceRatio: number | undefined;
  /** Price of a server per second, by failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>;
}
