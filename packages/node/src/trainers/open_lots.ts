/**
 * Counts the open lots of each customer over all hosts.
 * @module
 */
import { RefusedError } from "@briarhill/common/errors/errors";
import type { CustomerId, HostId } from "@briarhill/common/ids/ids";
import { z } from "zod";
import { parseMessage } from "../peers/peer_message.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";

const TOPIC = "lots.open";
const RETRY_AFTER_MS = 1000;
/** Interval at which unchanged counts are sent again, as a message may be lost. */
const REFRESH_TICKS = 5;
/** Number of times that empty counts are sent again. */
const EMPTY_REFRESHES = 12;

const COUNTS = z.object({
  /** The incarnation of the process that sent the counts. */
  incarnation: z.number().int(),
  counts: z.record(z.string(), z.number().int()),
});

type Counts = z.output<typeof COUNTS>;

/**
 * Counts the open lots of each customer. A host publishes the counts of its local
 * lots when they change, and repeats them periodically. Lots that are submitted at
 * two hosts before the counts have spread are both accepted.
 */
export class OpenLots {
  readonly #peers: PeerNetwork;
  readonly #listOpen: () => readonly CustomerId[];
  readonly #byHost = new Map<HostId, Counts>();
  #published = "{}";
  #ticks = 0;
  #refreshesLeft = -1;

  /**
   * Creates the counts.
   *
   * @param peers - The network that the counts are published on.
   * @param listOpen - Lists the customer of each lot that is open on this host.
   */
  constructor(peers: PeerNetwork, listOpen: () => readonly CustomerId[]) {
    this.#peers = peers;
    this.#listOpen = listOpen;
    peers.register(TOPIC, (input, from) => {
      this.#byHost.set(from, parseMessage(input, COUNTS));
      return Promise.resolve({});
    });
  }

  /** Publishes the counts of local lots if due; to be called each second. */
  advance(): void {
    const counts: Record<CustomerId, number> = {};
    for (const customer of this.#listOpen()) {
      counts[customer] = (counts[customer] ?? 0) + 1;
    }
    const text = JSON.stringify(counts);
    if (text !== this.#published) {
      this.#refreshesLeft = EMPTY_REFRESHES;
    } else if (!this.#isRefreshDue(text)) {
      return;
    }
    this.#published = text;
    this.#ticks = 0;
    const { incarnation } = this.#peers.getLocalMember();
    this.#peers.publish(TOPIC, { incarnation, counts });
  }

  #isRefreshDue(text: string): boolean {
    this.#ticks++;
    if (this.#ticks < REFRESH_TICKS) {
      return false;
    }
    this.#refreshesLeft -= text === "{}" ? 1 : 0;
    return this.#refreshesLeft >= 0;
  }

  /**
   * Returns the number of a customer's open lots on all hosts that have not failed.
   *
   * @param customer - The customer.
   */
  countOpen(customer: CustomerId): number {
    const localHost = this.#peers.getLocalMember().host;
    const local = this.#listOpen().filter((one) => one === customer).length;
    return this.#peers.getMembers()
      .filter(({ host, state }) => host !== localHost && state !== "failed")
      .reduce((sum, { host, incarnation }) => {
        const reported = this.#byHost.get(host);
        const isPresent = reported?.incarnation === incarnation;
        return sum + (isPresent ? reported.counts[customer] ?? 0 : 0);
      }, local);
  }

  /**
   * Throws a `RefusedError` if a customer has reached its limit of open lots.
   *
   * @param customer - The customer.
   * @param limit - The number of open lots that its contract allows.
   */
  throwIfTooMany(customer: CustomerId, limit: number): void {
    const open = this.countOpen(customer);
    if (open >= limit) {
      throw new RefusedError(
        `customer "${customer}" has ${open} open lots, the most its contract allows`,
        { props: { retryAfterMs: RETRY_AFTER_MS, reason: "open-lots" } },
      );
    }
  }
}
