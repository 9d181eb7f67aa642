/**
 * Creates the member record that a host gossips about itself, and converts member
 * records to the members of the peer network.
 * @module
 */
import type { MemberRecord } from "@briarhill/control/membership/member_record";
import type { Member } from "./peer_network.ts";
import type { PeerNetworkSetup } from "./peer_network_setup.ts";

/** The origin of incarnation numbers, 2024-01-01 UTC; a recent origin keeps them short on the wire. */
const INCARNATION_EPOCH_MS = 1_704_067_200_000;
const INCARNATION_UNIT_MS = 100;

/**
 * Creates the member record of a host that starts now.
 *
 * @example
 * ```ts
 * const record = createLocalMemberRecord(setup, 9080);
 * ```
 * @param setup - The options of the peer network.
 * @param port - The port that the host listens on.
 */
export function createLocalMemberRecord(
  setup: PeerNetworkSetup,
  port: number,
): MemberRecord {
  const { host, failureDomain, region, clock, listen } = setup;
  const sinceEpochMs = clock.getWallMs() - INCARNATION_EPOCH_MS;
  return {
    host,
    incarnation: Math.max(1, Math.floor(sinceEpochMs / INCARNATION_UNIT_MS)),
    refutation: 0,
    status: "alive",
    leaving: false,
    address: setup.advertisedAddress ?? `${listen.address}:${port}`,
    failureDomain,
    region,
  };
}

/**
 * Converts a member record to the form that the other parts of a node use.
 *
 * @example
 * ```ts
 * const members = membership.listRecords().map(toMember);
 * ```
 * @param record - The member record.
 */
export function toMember(record: MemberRecord): Member {
  const { host, incarnation, address, failureDomain, region } = record;
  const state = record.status !== "failed" && record.leaving
    ? "leaving"
    : record.status;
  return { host, incarnation, address, failureDomain, region, state };
}
