/**
 * A host's allotment of engine slots, from its local demand and the total
 * demand of all hosts. The limits of hosts with the same total must not sum to
 * more than all slots.
 * @module
 */
import type { Contract } from "@briarhill/contract/contract/contract";
import type {
  AdmissionLimits,
  CustomerLimits,
} from "../admission/admission_structure.ts";
import { getDemand, type HostNeed, type ShareSums } from "./share_sums.ts";

/** Demand added for every host, so that the first call on an idle host gets a slot. */
const BASE_DEMAND = 1;
const MAX_QUEUED_ROLLOUTS = 16_384;

/** Options of {@link computeHostLimits}. */
export interface HostLimitsOptions {
  readonly contracts: readonly Contract[];
  /** Slots of all engines, including engines that this host does not monitor. */
  readonly totalSlots: number;
  /** Number of hosts of the system, including hosts not covered by `total`. */
  readonly hosts: number;
  readonly local: ShareSums;
  /** Sums over all reporting hosts, including this one. */
  readonly total: ShareSums;
  /** Fraction of the slots outside the live floors that training may use now, from 0 to 1. */
  readonly trainingShare: number;
}

/** A host's limits, and the need that it reports to other hosts. */
export interface HostLimits extends HostNeed {
  readonly limits: AdmissionLimits;
}

interface CustomerAllotment {
  readonly contract: Contract;
  readonly entitled: number;
  readonly floor: number;
  readonly demand: number;
}

/**
 * Computes a host's limits. Hosts with the same total divide all slots among
 * themselves without remainder: each customer's share is divided in proportion
 * to its demand on each host, and idle slots in proportion to the demand of
 * each host beyond its shares.
 *
 * @example
 * ```ts
 * const { limits } = computeHostLimits({ contracts, totalSlots: 96, hosts: 12, local, total, trainingShare: 1 });
 * admission.setLimits(limits, nowMs);
 * ```
 * @param options - The contracts, slots and sums.
 */
export function computeHostLimits(options: HostLimitsOptions): HostLimits {
  const { hosts, total } = options;
  const reportingHosts = Math.max(1, total.hosts);
  // Hosts that have not reported are assumed to have the average demand.
  const slots = options.totalSlots * reportingHosts /
    Math.max(reportingHosts, hosts);
  const allotments = options.contracts.map((contract) =>
    computeAllotment(contract, { ...options, slots })
  );
  const need = computeNeed(allotments);
  const spare = Math.max(0, slots - Math.max(need.dueSlots, total.dueSlots));
  // Without the needs of other hosts no slot is known to be spare.
  const isNeedKnown = total.dueSlots > 0;
  const lent = isNeedKnown ? spare * computeSpareFraction(need, total) : 0;
  const granted = need.dueSlots + lent;
  const floors = allotments.reduce((sum, { floor }) => sum + floor, 0);
  return {
    ...need,
    limits: {
      totalSlots: floors + (granted - floors) * options.trainingShare,
      customers: allotments.map(buildCustomerLimits),
    },
  };
}

function computeAllotment(
  contract: Contract,
  options: {
    readonly slots: number;
    readonly local: ShareSums;
    readonly total: ShareSums;
  },
): CustomerAllotment {
  const { slots, total } = options;
  const localDemand = getDemand(options.local, contract.customer);
  const totalDemand = getDemand(total, contract.customer);
  const demand = localDemand.live + localDemand.rollouts;
  const floorSlots = slots * contract.getLiveFloorShare();
  const restSlots = slots * contract.structure.engineTime.share - floorSlots;
  const floor = floorSlots *
    computeFraction(localDemand.live, {
      all: totalDemand.live,
      hosts: total.hosts,
    });
  const rest = restSlots * computeFraction(demand, {
    all: totalDemand.live + totalDemand.rollouts,
    hosts: total.hosts,
  });
  return { contract, entitled: floor + rest, floor, demand };
}

function computeNeed(allotments: readonly CustomerAllotment[]): HostNeed {
  let dueSlots = 0;
  let unmetSlots = 0;
  for (const { entitled, floor, demand } of allotments) {
    dueSlots += Math.max(floor, Math.min(entitled, demand));
    unmetSlots += Math.max(0, demand - entitled);
  }
  return { dueSlots, unmetSlots };
}

function computeSpareFraction(need: HostNeed, total: ShareSums): number {
  return computeFraction(need.unmetSlots, {
    all: total.unmetSlots,
    hosts: total.hosts,
  });
}

/** The total may be older than the local value, so it is raised to at least the local value. */
function computeFraction(
  local: number,
  total: { readonly all: number; readonly hosts: number },
): number {
  const all = Math.max(local, total.all) +
    BASE_DEMAND * Math.max(1, total.hosts);
  return (local + BASE_DEMAND) / all;
}

function buildCustomerLimits(
  { contract, entitled, floor }: CustomerAllotment,
): CustomerLimits {
  const { engineTime, live } = contract.structure;
  return {
    customer: contract.customer,
    entitledSlots: entitled,
    floorSlots: floor,
    lend: engineTime.lend,
    takeBackMs: engineTime.takeBackMs,
    maxQueuedLive: live?.maxQueuedCalls ?? 0,
    maxQueuedRollouts: MAX_QUEUED_ROLLOUTS,
  };
}
