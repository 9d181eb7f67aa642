/**
 * Decides which leases a host competes for: those for which it is one of the
 * few candidates, and at long intervals all others, in case no candidate is
 * able to hold them.
 * @module
 */
import type { FailureDomain, HostId } from "@briarhill/common/ids/ids";
import { hashText } from "../membership/member_record.ts";

/** The number of hosts that compete for a lease permanently. */
export const LEASE_CANDIDATES = 3;

/**
 * The number of groups of leases. All leases of a group have the same
 * candidates, so that one record of the holder renews many of them.
 */
const LEASE_GROUPS = 4;

/** The wait of the first host after the candidates before it checks a lease. */
const CHECK_INTERVAL_MS = 30_000;
/** The longest wait of the lowest-ranked hosts. */
const MAX_CHECK_INTERVAL_MS = 600_000;
/** A holder whose last record was read within this time counts as alive. */
const HOLDER_LIVENESS_MS = 10_000;

/** A host that may hold leases. */
export interface LeaseMember {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
}

/** The state of a lease on a host, and when its holder was last observed. */
export interface LeaseStatus {
  readonly state: "unsought" | "following" | "claiming" | "holding";
  /** When a valid record of the lease's holder was last read. */
  readonly confirmedAtMs: number | undefined;
}

/**
 * Returns the rank of a host among those that may hold a lease; 0 is the first.
 * The first ranks are in different failure domains if there are enough domains.
 *
 * @example
 * ```ts
 * const isCandidate = computeLeaseRank("snapshots", { self, members }) < 3;
 * ```
 * @param lease - The lease.
 * @param view - The host, and the running hosts that it knows of.
 */
export function computeLeaseRank(
  lease: string,
  view: { readonly self: HostId; readonly members: readonly LeaseMember[] },
): number {
  const group = hashText(lease) % LEASE_GROUPS;
  const sorted = view.members
    .map((member) => ({
      ...member,
      score: hashText(`${group}|${member.host}`),
    }))
    .sort((a, b) => b.score - a.score || (a.host < b.host ? -1 : 1));
  const domains = new Set<FailureDomain>();
  const candidates: HostId[] = [];
  for (const { host, failureDomain } of sorted) {
    if (candidates.length < LEASE_CANDIDATES && !domains.has(failureDomain)) {
      domains.add(failureDomain);
      candidates.push(host);
    }
  }
  const rest = sorted.map(({ host }) => host)
    .filter((host) => !candidates.includes(host));
  const rank = [...candidates, ...rest].indexOf(view.self);
  return rank < 0 ? view.members.length : rank;
}

/** Decides which leases one host competes for. */
export class LeaseCandidacy {
  readonly #self: HostId;
  readonly #ranks = new Map<string, number>();
  #members: readonly LeaseMember[] = [];
  #memberNames = "";
  #nextCheckAtMs = Infinity;

  constructor(self: HostId) {
    this.#self = self;
  }

  /**
   * Adds a lease that this host is able to hold.
   *
   * @param lease - The lease.
   * @param nowMs - The monotonic time.
   */
  addLease(lease: string, nowMs: number): void {
    this.#ranks.set(lease, this.#computeRank(lease));
    this.#scheduleCheck(nowMs);
  }

  /**
   * Removes a lease.
   *
   * @param lease - The lease.
   */
  removeLease(lease: string): void {
    this.#ranks.delete(lease);
  }

  /** Returns the leases that this host is able to hold. */
  listLeases(): readonly string[] {
    return [...this.#ranks.keys()];
  }

  /**
   * Sets the running hosts, including this one.
   *
   * @param members - The running hosts that this one knows of.
   * @param nowMs - The monotonic time.
   */
  setMembers(members: readonly LeaseMember[], nowMs: number): void {
    const names = members.map(({ host }) => host).sort().join(" ");
    if (names === this.#memberNames) {
      return;
    }
    this.#memberNames = names;
    this.#members = members;
    for (const lease of this.#ranks.keys()) {
      this.#ranks.set(lease, this.#computeRank(lease));
    }
    this.#scheduleCheck(nowMs);
  }

  /**
   * Returns whether this host has to compete for a lease now.
   *
   * @param lease - The lease.
   * @param status - The state of the lease on this host.
   * @param nowMs - The monotonic time.
   */
  shouldSeek(
    lease: string,
    status: LeaseStatus,
    nowMs: number,
  ): boolean {
    const { state, confirmedAtMs } = status;
    const rank = this.#ranks.get(lease) ?? Infinity;
    if (
      rank < LEASE_CANDIDATES || state === "claiming" || state === "holding"
    ) {
      return true;
    }
    if (state === "unsought") {
      return nowMs >= this.#nextCheckAtMs;
    }
    const isHeld = confirmedAtMs !== undefined &&
      nowMs - confirmedAtMs < HOLDER_LIVENESS_MS;
    if (isHeld && nowMs >= this.#nextCheckAtMs) {
      this.#nextCheckAtMs = Infinity;
      this.#scheduleCheck(nowMs);
    }
    return !isHeld;
  }

  /** Staggers the checks of the hosts: the wait grows with the rank. */
  #scheduleCheck(nowMs: number): void {
    const ranks = [...this.#ranks.values()]
      .filter((rank) => rank >= LEASE_CANDIDATES);
    if (ranks.length === 0) {
      return;
    }
    const position = Math.min(...ranks) - LEASE_CANDIDATES + 1;
    const waitMs = Math.min(
      MAX_CHECK_INTERVAL_MS,
      CHECK_INTERVAL_MS * position,
    );
    this.#nextCheckAtMs = Math.min(this.#nextCheckAtMs, nowMs + waitMs);
  }

  #computeRank(lease: string): number {
    const [self, members] = [this.#self, this.#members];
    // A host without known members competes for all leases.
    return members.length === 0
      ? 0
      : computeLeaseRank(lease, { self, members });
  }
}
