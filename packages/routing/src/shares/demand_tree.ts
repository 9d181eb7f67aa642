/**
 * Tree over all hosts along which demand is aggregated. No host may be counted
 * twice, also while messages are lost.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import { hashText } from "@briarhill/common/hashing/rendezvous";
import { computeTotal, NO_SUMS, type ShareSums } from "./share_sums.ts";

const CHILDREN_PER_HOST = 4;

/** Time after which sums received from another host are stale. */
export const SUMS_LIFETIME_MS = 12_000;

/** Sums sent to the parent or to a child in the tree. */
export interface TreeMessage {
  readonly to: HostId;
  /** "part" is sent to the parent and covers a subtree; "total" is sent to the children. */
  readonly kind: "part" | "total";
  readonly sums: ShareSums;
}

/** Sums received from another host. */
export interface ReceivedSums extends Omit<TreeMessage, "to"> {
  readonly from: HostId;
}

interface TimedSums {
  readonly sums: ShareSums;
  readonly receivedAtMs: number;
}

/**
 * One host's node of the aggregation tree. Hosts with the same member list
 * build the same tree, so that no root has to be elected. Per interval a host
 * sends and receives one message per tree edge, whatever the number of hosts.
 */
export class DemandTree {
  readonly #self: HostId;
  #parent: HostId | undefined;
  #children: readonly HostId[] = [];
  #local: ShareSums = NO_SUMS;
  readonly #childSums = new Map<HostId, TimedSums>();
  #total: (TimedSums & { readonly from: HostId }) | undefined;

  constructor(self: HostId) {
    this.#self = self;
  }

  /**
   * Sets the hosts of the tree.
   *
   * @param hosts - The members that are alive, including this host.
   */
  setHosts(hosts: readonly HostId[]): void {
    const sortedHosts = [...new Set([...hosts, this.#self])]
      .map((host) => ({ host, hash: hashText(host) }))
      .sort((a, b) => a.hash - b.hash || (a.host < b.host ? -1 : 1))
      .map(({ host }) => host);
    const index = sortedHosts.indexOf(this.#self);
    this.#parent = index === 0
      ? undefined
      : sortedHosts[Math.floor((index - 1) / CHILDREN_PER_HOST)];
    const firstChild = index * CHILDREN_PER_HOST + 1;
    this.#children = sortedHosts.slice(
      firstChild,
      firstChild + CHILDREN_PER_HOST,
    );
  }

  /**
   * Sets the sums of this host.
   *
   * @param sums - The sums.
   */
  setLocal(sums: ShareSums): void {
    this.#local = sums;
  }

  /**
   * Records sums received from another host. Ignores a part from a host that is
   * not a child, because another host counts it.
   *
   * @param received - The sums and their sender.
   * @param nowMs - The current time.
   */
  record({ from, kind, sums }: ReceivedSums, nowMs: number): void {
    const timed = { sums, receivedAtMs: nowMs };
    if (kind === "part" && this.#children.includes(from)) {
      this.#childSums.set(from, timed);
    }
    if (kind === "total" && from === this.#parent) {
      this.#total = { ...timed, from };
    }
  }

  /**
   * Returns the latest total of all hosts, or the sums of this host's subtree
   * while there is no fresh total from the parent.
   *
   * @param nowMs - The current time.
   */
  getTotal(nowMs: number): ShareSums {
    const total = this.#total;
    return total !== undefined && total.from === this.#parent &&
        isFresh(total, nowMs)
      ? total.sums
      : this.#computeSubtreeSums(nowMs);
  }

  /**
   * Lists the messages to send in this interval.
   *
   * @param nowMs - The current time.
   */
  listMessages(nowMs: number): readonly TreeMessage[] {
    const total = this.getTotal(nowMs);
    const toChildren = this.#children.map((to) => ({
      to,
      kind: "total" as const,
      sums: total,
    }));
    return this.#parent === undefined ? toChildren : [
      { to: this.#parent, kind: "part", sums: this.#computeSubtreeSums(nowMs) },
      ...toChildren,
    ];
  }

  #computeSubtreeSums(nowMs: number): ShareSums {
    const parts = this.#children
      .map((child) => this.#childSums.get(child))
      .filter((timed) => timed !== undefined && isFresh(timed, nowMs))
      .map((timed) => timed?.sums ?? NO_SUMS);
    return computeTotal([this.#local, ...parts]);
  }
}

function isFresh(timed: TimedSums, nowMs: number): boolean {
  return nowMs - timed.receivedAtMs <= SUMS_LIFETIME_MS;
}
