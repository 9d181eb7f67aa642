/**
 * Simulated processes and the links between them.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { MemberRecord } from "../../src/membership/member_record.ts";
import { Membership } from "../../src/membership/membership.ts";
import type { LinkId } from "../../src/membership/membership_message.ts";
import { DEFAULT_MEMBERSHIP_OPTIONS } from "../../src/membership/membership_options.ts";

const SECOND_MS = 1_000;

/** A simulated process. */
export interface SimulatedHost {
  readonly name: string;
  membership: Membership;
  isUp: boolean;
  pausedUntilMs: number;
  readonly received: Map<string, unknown>;
  messages: number;
  bytes: number;
  superseded: boolean;
}

/** A link between two hosts. */
export interface Connection {
  readonly id: LinkId;
  readonly dialler: SimulatedHost;
  readonly acceptor: SimulatedHost;
  isOpen: boolean;
}

/** Options of a simulation. */
export interface SimulationOptions {
  readonly hosts: number;
  readonly seed: number;
  readonly tickMs?: number;
}

/** Creates the membership of a new process. */
export function createMembership(
  name: string,
  options: {
    readonly index: number;
    readonly nowMs: number;
    readonly seed: number;
  },
): Membership {
  const { index, nowMs, seed } = options;
  const self: MemberRecord = {
    host: name,
    incarnation: 1 + Math.floor(nowMs / SECOND_MS),
    refutation: 0,
    status: "alive",
    leaving: false,
    address: String(index),
    failureDomain: `domain-${index % 3}`,
    region: `region-${index % 2}`,
  };
  return new Membership({
    self,
    seeds: ["0", "1"],
    options: DEFAULT_MEMBERSHIP_OPTIONS,
    random: new SeededRandom(seed * 1_000 + index + nowMs),
  }, nowMs);
}

/** Returns whether the members that each of these hosts lists are exactly these hosts. */
export function hasConsistentView(up: readonly SimulatedHost[]): boolean {
  const expected = up.map(({ membership }) => membership.getLocalMember())
    .map(formatRecord).sort().join("\n");
  return up.every(({ membership }) =>
    membership.listRecords().filter(({ status }) => status !== "failed")
      .map(formatRecord).sort().join("\n") === expected
  );
}

function formatRecord(record: MemberRecord): string {
  const { host, incarnation, status, leaving } = record;
  return `${host} ${incarnation} ${status} ${leaving}`;
}
