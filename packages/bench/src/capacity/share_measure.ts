/**
 * Measures the cost of share accounting, against the number of hosts.
 * @module
 */
import { DemandTree } from "@briarhill/routing/shares/demand_tree";
import { computeHostLimits } from "@briarhill/routing/shares/host_limits";
import {
  encodeSums,
  type ShareSums,
} from "@briarhill/routing/shares/share_sums";
import { pack } from "msgpackr";
import { createContracts } from "./contract_fixture.ts";
import { RoleMeasure, type RoleState } from "./role_measure.ts";

const CUSTOMERS = 10;
const SLOTS_PER_HOST = 512;
const ROUND_MS = 4000;

/** Measures the cost of one round of share accounting at one host. */
export class ShareMeasure extends RoleMeasure {
  override readonly role = "share accounting";
  override readonly unit = "hosts";
  override readonly sizes = [12, 48, 96, 192, 370];
  override readonly target = {
    size: 370,
    eventsPerSecond: 1000 / ROUND_MS,
    isControl: true,
  };

  override buildState(size: number): RoleState {
    const contracts = createContracts(CUSTOMERS);
    const hosts = Array.from({ length: size }, (_, index) => `host-${index}`);
    const tree = createInnerTree(hosts);
    const handleEvent = (index: number) => {
      const nowMs = index * ROUND_MS;
      const localSums = createSums(index, 1);
      tree.setHosts(hosts);
      tree.setLocal(localSums);
      for (const from of hosts) {
        tree.record({ from, kind: "part", sums: createSums(index, 8) }, nowMs);
      }
      computeHostLimits({
        contracts,
        totalSlots: size * SLOTS_PER_HOST,
        hosts: size,
        local: localSums,
        total: tree.getTotal(nowMs),
        trainingShare: 1,
      });
      return tree.listMessages(nowMs)
        .reduce(
          (sum, message) => sum + pack(encodeSums(message.sums)).length,
          0,
        );
    };
    return { handleEvent, held: [contracts, hosts, tree] };
  }
}

/** Returns the demand tree of the host that has the most links. */
function createInnerTree(hosts: readonly string[]): DemandTree {
  const trees = hosts.map((host) => {
    const tree = new DemandTree(host);
    tree.setHosts(hosts);
    return { tree, links: tree.listMessages(0).length };
  });
  trees.sort((a, b) => b.links - a.links);
  return trees[0]?.tree ?? new DemandTree("host-0");
}

function createSums(seed: number, hosts: number): ShareSums {
  const demands = Array.from({ length: CUSTOMERS }, (_, index) => ({
    customer: `customer-${index}`,
    live: hosts * (1 + (seed + index) % 5),
    rollouts: hosts * ((seed * index) % 64),
  }));
  return { hosts, demands, dueSlots: 40 * hosts, unmetSlots: 9 * hosts };
}
