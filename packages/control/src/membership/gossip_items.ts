/**
 * Store of gossip items: retains the newest payload of each topic and host.
 * @module
 */
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";

/** A payload that one host published. */
export interface GossipItem {
  readonly topic: string;
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Increases with each payload of the host. */
  readonly sequence: number;
  readonly payload: unknown;
}

/** The topic and the host of an item, as a map key. */
export type ItemKey = string;

/** An item, its size on the wire and the time at which it was stored. */
export interface StoredItem {
  readonly item: GossipItem;
  readonly bytes: number;
  readonly receivedMs: number;
  /** Whether the payload changes infrequently; such items are sent first. */
  readonly rare: boolean;
}

const ITEM_OVERHEAD_BYTES = 12;
const RARE_INTERVAL_MS = 10_000;

/**
 * Returns the key of an item.
 *
 * @example
 * ```ts
 * const key = getItemKey(item);
 * ```
 * @param item - The item.
 */
export function getItemKey(item: GossipItem): ItemKey {
  return `${item.topic}\n${item.host}`;
}

/** Holds the newest item of each topic and host. */
export class GossipItems {
  readonly #entries = new Map<ItemKey, StoredItem>();

  /**
   * Stores an item unless the stored one is at least as new, and returns whether
   * it was stored.
   *
   * @param item - The published item.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  addItem(item: GossipItem, nowMs: number): boolean {
    const key = getItemKey(item);
    const existing = this.#entries.get(key);
    if (existing !== undefined && !isNewer(item, existing.item)) {
      return false;
    }
    const rare = existing === undefined ||
      nowMs - existing.receivedMs > RARE_INTERVAL_MS;
    const bytes = ITEM_OVERHEAD_BYTES + item.topic.length + item.host.length +
      (JSON.stringify(item.payload) ?? "").length;
    this.#entries.set(key, { item, bytes, receivedMs: nowMs, rare });
    return true;
  }

  /**
   * Returns a stored item.
   *
   * @param key - The item's key.
   */
  getItem(key: ItemKey): StoredItem | undefined {
    return this.#entries.get(key);
  }

  /**
   * Returns the keys of the items that were stored at or after a given time.
   *
   * @param sinceMs - The inclusive lower bound, in monotonic time.
   */
  listKeysSince(sinceMs: number): readonly ItemKey[] {
    return [...this.#entries]
      .filter(([, entry]) => entry.receivedMs >= sinceMs)
      .map(([key]) => key);
  }

  /**
   * Removes the items of all hosts other than the given ones.
   *
   * @param hosts - The hosts whose items are retained.
   */
  pruneHosts(hosts: ReadonlySet<HostId>): void {
    for (const [key, { item }] of this.#entries) {
      if (!hosts.has(item.host)) {
        this.#entries.delete(key);
      }
    }
  }
}

function isNewer(a: GossipItem, b: GossipItem): boolean {
  return a.incarnation === b.incarnation
    ? a.sequence > b.sequence
    : a.incarnation > b.incarnation;
}
