/**
 * Decides how many servers of a service each failure domain is to have. Servers
 * beyond those that are there to stay are ordered as reclaimable ones, in at least
 * two failure domains, and as lasting ones only where no others are to be had.
 *
 * Load pattern: trainers submit a step every few seconds, and all of its samples
 * wait at once. All reclaimable servers of a failure domain leave together, some
 * seconds after their notice, and for a while no others are available there or
 * anywhere. Demand doubles, or falls for a long time.
 * @module
 */
import type { ScalingTerms } from "@briarhill/common/scaling/scaling_terms";

/** Minimum number of failure domains over which reclaimable servers are spread, if there are as many. */
const MIN_SPREAD = 2;

/** The servers of a service in a failure domain. */
export interface ServerPool {
  readonly failureDomain: string;
  /** Lasting servers that are there or ordered. */
  readonly lastingCount: number;
  /** Reclaimable servers that are ordered and expected to be there. */
  readonly reclaimableCount: number;
}

/** The number of servers of one kind that a failure domain is to have. */
export interface PlannedCount {
  readonly failureDomain: string;
  readonly isReclaimable: boolean;
  readonly count: number;
}

/** Input of {@link decideServerCounts}. */
export interface ServerPlanInput {
  readonly scaling: ScalingTerms;
  /** The number of servers that are needed beyond the lasting ones. */
  readonly extraCount: number;
  readonly pools: readonly ServerPool[];
  /** Returns whether servers of a kind may be ordered in a failure domain now. */
  readonly canOrder: (count: Omit<PlannedCount, "count">) => boolean;
}

/**
 * Returns the numbers that differ from those in force. Servers that are there stay
 * where they are, whatever has become cheaper since.
 *
 * @example
 * ```ts
 * const counts = decideServerCounts({
 *   scaling: {
 *     minCount: 1,
 *     maxCount: 8,
 *     bootMs: 4_000,
 *     reclaimablePriceRatio: 0.2,
 *     domainPrices: new Map([["a", 1], ["b", 0.9]]),
 *   },
 *   extraCount: 3,
 *   pools: [],
 *   canOrder: () => true,
 * });
 * ```
 * @param input - What is needed, what is there and what may be ordered.
 */
export function decideServerCounts(
  input: ServerPlanInput,
): readonly PlannedCount[] {
  const { pools, extraCount, scaling } = input;
  const ordered = pools.reduce((sum, pool) => sum + pool.reclaimableCount, 0);
  const missing = extraCount - ordered;
  if (missing <= 0) {
    return decideLowered(input, -missing);
  }
  const raised = scaling.reclaimablePriceRatio === undefined
    ? []
    : addReclaimable(input, missing);
  const added = raised.reduce((sum, { added }) => sum + added, 0);
  return [
    ...raised.map(({ planned }) => planned),
    ...addLasting(input, { missing: missing - added, raised }),
  ];
}

interface RaisedCount {
  readonly planned: PlannedCount;
  readonly added: number;
}

function addReclaimable(
  input: ServerPlanInput,
  missing: number,
): readonly RaisedCount[] {
  const { scaling, extraCount } = input;
  const spread = Math.min(MIN_SPREAD, scaling.domainPrices.size);
  const limit = Math.ceil(extraCount / spread);
  const raised: RaisedCount[] = [];
  let left = missing;
  for (const pool of listPools(input)) {
    const { failureDomain, reclaimableCount } = pool;
    const kind = { failureDomain, isReclaimable: true };
    const room = Math.min(getRoom(input, pool), limit - reclaimableCount);
    const added = Math.min(left, input.canOrder(kind) ? room : 0);
    if (added > 0) {
      const planned = { ...kind, count: reclaimableCount + added };
      raised.push({ planned, added });
      left -= added;
    }
  }
  return raised;
}

function addLasting(
  input: ServerPlanInput,
  { missing, raised }: {
    readonly missing: number;
    readonly raised: readonly RaisedCount[];
  },
): readonly PlannedCount[] {
  const planned: PlannedCount[] = [];
  let left = missing;
  for (const pool of listPools(input)) {
    const { failureDomain, lastingCount } = pool;
    const kind = { failureDomain, isReclaimable: false };
    const taken = raised.find((each) =>
      each.planned.failureDomain === failureDomain
    )?.added ?? 0;
    const room = getRoom(input, pool) - taken;
    const added = Math.min(left, input.canOrder(kind) ? room : 0);
    if (added > 0) {
      planned.push({ ...kind, count: lastingCount + added });
      left -= added;
    }
  }
  return planned;
}

/** Gives up reclaimable servers, those of the dearest failure domains first. */
function decideLowered(
  input: ServerPlanInput,
  surplus: number,
): readonly PlannedCount[] {
  const planned: PlannedCount[] = [];
  let left = surplus;
  for (const pool of [...listPools(input)].reverse()) {
    const { failureDomain, reclaimableCount, lastingCount } = pool;
    const least = Math.max(0, input.scaling.minCount - lastingCount);
    const removed = Math.min(left, Math.max(0, reclaimableCount - least));
    if (removed > 0) {
      planned.push({
        failureDomain,
        isReclaimable: true,
        count: reclaimableCount - removed,
      });
      left -= removed;
    }
  }
  return planned;
}

/** Returns the pools of all failure domains that have a price, the cheapest first. */
function listPools({ scaling, pools }: ServerPlanInput): readonly ServerPool[] {
  return [...scaling.domainPrices].sort(([, a], [, b]) => a - b)
    .map(([failureDomain]) =>
      pools.find((pool) => pool.failureDomain === failureDomain) ??
        { failureDomain, lastingCount: 0, reclaimableCount: 0 }
    );
}

function getRoom(
  { scaling }: ServerPlanInput,
  { lastingCount, reclaimableCount }: ServerPool,
): number {
  return Math.max(0, scaling.maxCount - lastingCount - reclaimableCount);
}
