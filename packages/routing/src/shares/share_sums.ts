/**
 * Aggregated demand of hosts. The size of the sums does not grow with the number
 * of hosts that they cover.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { CustomerUsage } from "../admission/admission_structure.ts";

/** Demand of one customer on a set of hosts. */
export interface CustomerDemand {
  readonly customer: CustomerId;
  /** Number of running and queued live calls. */
  readonly live: number;
  /** Number of running and queued rollouts. */
  readonly rollouts: number;
}

/** Aggregated demand and need of a set of hosts. */
export interface ShareSums {
  /** Number of hosts that the sums cover. */
  readonly hosts: number;
  readonly demands: readonly CustomerDemand[];
  /** Slots that the hosts are due by share and live floor. */
  readonly dueSlots: number;
  /** Slots that the hosts need beyond their shares. */
  readonly unmetSlots: number;
}

/** Slots that a host is due, and slots that it needs beyond them. */
export interface HostNeed {
  readonly dueSlots: number;
  readonly unmetSlots: number;
}

/** Sums of an empty set of hosts. */
export const NO_SUMS: ShareSums = {
  hosts: 0,
  demands: [],
  dueSlots: 0,
  unmetSlots: 0,
};

/**
 * Builds the sums of one host, without customers that have no demand.
 *
 * @example
 * ```ts
 * const own = buildSums(admission.getUsage(), { dueSlots: 3, unmetSlots: 0 });
 * ```
 * @param usages - The usage of each customer on the host.
 * @param need - The need from the last computation of the host's limits.
 */
export function buildSums(
  usages: readonly CustomerUsage[],
  need: HostNeed,
): ShareSums {
  const demands = usages.map((usage) => ({
    customer: usage.customer,
    live: usage.liveRunning + usage.liveQueued,
    rollouts: usage.rolloutsRunning + usage.rolloutsQueued,
  }));
  return {
    ...need,
    hosts: 1,
    demands: demands.filter(({ live, rollouts }) => live + rollouts > 0),
  };
}

/**
 * Computes the total of several sums.
 *
 * @example
 * ```ts
 * const total = computeTotal([own, ...children]);
 * ```
 * @param parts - Sums of disjoint sets of hosts.
 */
export function computeTotal(parts: readonly ShareSums[]): ShareSums {
  const demands = new Map<CustomerId, CustomerDemand>();
  for (
    const { customer, live, rollouts } of parts.flatMap((it) => it.demands)
  ) {
    const previous = demands.get(customer);
    demands.set(customer, {
      customer,
      live: live + (previous?.live ?? 0),
      rollouts: rollouts + (previous?.rollouts ?? 0),
    });
  }
  const computeSum = (get: (part: ShareSums) => number) =>
    parts.reduce((sum, part) => sum + get(part), 0);
  return {
    hosts: computeSum((part) => part.hosts),
    demands: [...demands.values()],
    dueSlots: computeSum((part) => part.dueSlots),
    unmetSlots: computeSum((part) => part.unmetSlots),
  };
}

/**
 * Returns the demand of one customer, zero if the sums have none.
 *
 * @example
 * ```ts
 * const { live } = getDemand(total, "agencia");
 * ```
 * @param sums - The sums.
 * @param customer - The customer.
 */
export function getDemand(
  sums: ShareSums,
  customer: CustomerId,
): Pick<CustomerDemand, "live" | "rollouts"> {
  return sums.demands.find((it) => it.customer === customer) ??
    { live: 0, rollouts: 0 };
}

/** Wire format of sums: hosts, due slots, unmet slots, and one row per customer. */
export type EncodedSums = readonly [
  number,
  number,
  number,
  readonly (readonly [CustomerId, number, number])[],
];

/**
 * Encodes sums for sending. Slots are rounded to tenths.
 *
 * @example
 * ```ts
 * const input = { kind, sums: encodeSums(message.sums) };
 * ```
 * @param sums - The sums.
 */
export function encodeSums(sums: ShareSums): EncodedSums {
  return [
    sums.hosts,
    toTenths(sums.dueSlots),
    toTenths(sums.unmetSlots),
    sums.demands.map(({ customer, live, rollouts }) =>
      [customer, live, rollouts] as const
    ),
  ];
}

/**
 * Decodes sums received from another host.
 *
 * @example
 * ```ts
 * tree.record({ from, kind, sums: decodeSums(input.sums) }, nowMs);
 * ```
 * @param encoded - The encoded sums.
 */
export function decodeSums(
  [hosts, dueSlots, unmetSlots, rows]: EncodedSums,
): ShareSums {
  const demands = rows.map(([customer, live, rollouts]) => ({
    customer,
    live,
    rollouts,
  }));
  return { hosts, demands, dueSlots, unmetSlots };
}

function toTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
