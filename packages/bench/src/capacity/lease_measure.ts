/**
 * Measures the cost of one lease renewal at a host that follows all leases.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import { LeaseAgent } from "@briarhill/control/leases/lease_agent";
import { encodeLeaseRecord } from "@briarhill/control/leases/lease_record";
import { RoleMeasure, type RoleState } from "./role_measure.ts";

const LEASES = 32;
const RENEWAL_INTERVAL_S = 5;

/** Measures the cost of one renewal at a host that follows all leases. */
export class LeaseMeasure extends RoleMeasure {
  override readonly role = "lease holder";
  override readonly unit = "leases";
  override readonly sizes = [2, 8, 32, 128];
  override readonly target = {
    size: LEASES,
    eventsPerSecond: LEASES / RENEWAL_INTERVAL_S,
    isControl: true,
  };

  override buildState(size: number): RoleState {
    const agent = new LeaseAgent(
      { host: "self", epoch: 1 },
      new SeededRandom(1),
    );
    const lastOffsets = new Map<number, number>();
    const fencingNumbers = new Map<number, number>();
    const now = { monotonicMs: 0, wallMs: 0 };
    agent.handlePage({ records: [], first: 0, end: 0 }, now);
    const handleEvent = (index: number) => {
      const lease = index % size;
      const first = fencingNumbers.get(lease);
      const claim = {
        lease: `job-${lease}`,
        kind: first === undefined ? "claim" as const : "renew" as const,
        after: lastOffsets.get(lease) ?? -1,
        ...(first === undefined ? {} : { fencing: first }),
      };
      const host = `host-${lease}`;
      const record = { host, epoch: 1, sequence: index, claims: [claim] };
      const value = encodeLeaseRecord(record);
      const records = [{ offset: index, timeMs: 0, value }];
      agent.handlePage({ records, first: 0, end: index + 1 }, now);
      lastOffsets.set(lease, index);
      fencingNumbers.set(lease, first ?? index);
      return value.length;
    };
    return { handleEvent, held: [agent, lastOffsets, fencingNumbers] };
  }
}
