/**
 * The tree along which hosts add up what they use and want.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import { hashText } from "@briarhill/common/hashing/rendezvous";
import { computeTotal, NO_SUMS, type ShareSums } from "./share_sums.ts";

const CHILDREN_PER_HOST = 4;

/** How long sums of another host count. */
export const SUMS_LIFETIME_MS = 12_000;

/** Sums for another host of the tree. */
export interface TreeMessage {
  readonly to: HostId;
  /** "part" goes up and stands for a subtree, "total" comes down. */
  readonly kind: "part" | "total";
  readonly sums: ShareSums;
}

/** Sums that another host sent. */
export interface ReceivedSums extends Omit<TreeMessage, "to"> {
  readonly from: HostId;
}

interface HeardSums {
  readonly sums: ShareSums;
  readonly heardAtMs: number;
}

/**
 * One host's place in the tree. All hosts that know the same members build the
 * same tree, so that nobody has to appoint a root; a host sends and hears one
 * message for each link of the tree and interval, whatever the number of hosts.
 */
export class DemandTree {
  readonly #self: HostId;
  #parent: HostId | undefined;
  #children: readonly HostId[] = [];
  #own: ShareSums = NO_SUMS;
  readonly #parts = new Map<HostId, HeardSums>();
  #total: (HeardSums & { readonly from: HostId }) | undefined;

  constructor(self: HostId) {
    this.#self = self;
  }

  /**
   * Sets the hosts of the tree.
   *
   * @param hosts - The members that are alive, this host included.
   */
  setHosts(hosts: readonly HostId[]): void {
    const order = [...new Set([...hosts, this.#self])]
      .map((host) => ({ host, hash: hashText(host) }))
      .sort((a, b) => a.hash - b.hash || (a.host < b.host ? -1 : 1))
      .map(({ host }) => host);
    const index = order.indexOf(this.#self);
    this.#parent = index === 0
      ? undefined
      : order[Math.floor((index - 1) / CHILDREN_PER_HOST)];
    const first = index * CHILDREN_PER_HOST + 1;
    this.#children = order.slice(first, first + CHILDREN_PER_HOST);
  }

  /**
   * Sets what this host uses and wants.
   *
   * @param own - Its sums.
   */
  setOwn(own: ShareSums): void {
    this.#own = own;
  }

  /**
   * Records sums of another host. A part of a host that is no child is left
   * out: another one counts it.
   *
   * @param received - The sums and who sent them.
   * @param nowMs - The time.
   */
  record({ from, kind, sums }: ReceivedSums, nowMs: number): void {
    const heard = { sums, heardAtMs: nowMs };
    if (kind === "part" && this.#children.includes(from)) {
      this.#parts.set(from, heard);
    }
    if (kind === "total" && from === this.#parent) {
      this.#total = { ...heard, from };
    }
  }

  /**
   * Returns the newest total of all hosts, or that of the hosts below this one
   * while none is heard from above.
   *
   * @param nowMs - The time.
   */
  getTotal(nowMs: number): ShareSums {
    const total = this.#total;
    return total !== undefined && total.from === this.#parent &&
        isFresh(total, nowMs)
      ? total.sums
      : this.#computePart(nowMs);
  }

  /**
   * Lists what is to be sent in this interval.
   *
   * @param nowMs - The time.
   */
  listMessages(nowMs: number): readonly TreeMessage[] {
    const total = this.getTotal(nowMs);
    const down = this.#children.map((to) => ({
      to,
      kind: "total" as const,
      sums: total,
    }));
    return this.#parent === undefined ? down : [
      { to: this.#parent, kind: "part", sums: this.#computePart(nowMs) },
      ...down,
    ];
  }

  #computePart(nowMs: number): ShareSums {
    const parts = this.#children
      .map((child) => this.#parts.get(child))
      .filter((heard) => heard !== undefined && isFresh(heard, nowMs))
      .map((heard) => heard?.sums ?? NO_SUMS);
    return computeTotal([this.#own, ...parts]);
  }
}

function isFresh(heard: HeardSums, nowMs: number): boolean {
  return nowMs - heard.heardAtMs <= SUMS_LIFETIME_MS;
}
