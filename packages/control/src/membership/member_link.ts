/**
 * An open link to a peer, with the records and items that are queued for it.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import type { GossipItem, GossipItems, ItemKey } from "./gossip_items.ts";
import type { MemberRecord } from "./member_record.ts";
import type { MemberTable } from "./member_table.ts";
import type { OpenedLink } from "./membership_message.ts";

const RECORD_OVERHEAD_BYTES = 12;

/** The contents of one message. */
export interface LinkBatch {
  readonly records: readonly MemberRecord[];
  readonly items: readonly GossipItem[];
  readonly bytes: number;
}

/** The contents that a batch can draw on, and its size limit. */
export interface BatchSource {
  readonly table: MemberTable;
  readonly items: GossipItems;
  readonly maxBytes: number;
}

/** An open link to a peer and its send queue. */
export class MemberLink {
  readonly opened: OpenedLink;
  lastReceivedMs: number;
  lastSentMs = -Infinity;
  lastSyncMs = -Infinity;
  /** When the peer ceased to be a neighbour on any ring; undefined for neighbours. */
  unwantedSinceMs: number | undefined;
  /** The number of consecutive messages whose digest differed from the local one. */
  digestMismatches = 0;
  /** Whether the next message has to carry the complete table. */
  isFullSyncDue = false;
  readonly #records = new Set<HostId>();
  readonly #rareItems = new Set<ItemKey>();
  readonly #items = new Set<ItemKey>();

  constructor(opened: OpenedLink, nowMs: number) {
    this.opened = opened;
    this.lastReceivedMs = nowMs;
  }

  /** Returns whether records or items are queued. */
  hasPending(): boolean {
    return this.#records.size > 0 ||
      this.#rareItems.size > 0 || this.#items.size > 0;
  }

  /**
   * Queues the record of a host.
   *
   * @param host - The host of the record.
   */
  addRecord(host: HostId): void {
    this.#records.add(host);
  }

  /**
   * Queues an item. The payload is read when the message is built, so that a newer
   * one replaces an older one in the queue.
   *
   * @param key - The item's key.
   * @param rare - Whether the item is sent before those that change frequently.
   */
  addItem(key: ItemKey, rare: boolean): void {
    (rare ? this.#rareItems : this.#items).add(key);
  }

  /**
   * Removes from the queue and returns the contents of the next message: records
   * first, then items that change infrequently, then the others.
   *
   * @param source - The contents to draw on, and the size limit.
   */
  removeBatch(source: BatchSource): LinkBatch {
    const records: MemberRecord[] = [];
    let bytes = 0;
    for (const host of this.#records) {
      if (bytes >= source.maxBytes) {
        break;
      }
      this.#records.delete(host);
      const record = source.table.getRecord(host);
      if (record !== undefined) {
        records.push(record);
        bytes += computeRecordBytes(record);
      }
    }
    const items: GossipItem[] = [];
    for (const keys of [this.#rareItems, this.#items]) {
      bytes = removeItems(keys, { source, items, bytes });
    }
    return { records, items, bytes };
  }

  /** Removes the queued records, which the complete table supersedes. */
  clearRecords(): void {
    this.#records.clear();
    this.isFullSyncDue = false;
  }
}

interface ItemBatch {
  readonly source: BatchSource;
  readonly items: GossipItem[];
  readonly bytes: number;
}

function removeItems(keys: Set<ItemKey>, batch: ItemBatch): number {
  let bytes = batch.bytes;
  for (const key of keys) {
    const stored = batch.source.items.getItem(key);
    const size = stored?.bytes ?? 0;
    if (bytes > 0 && bytes + size > batch.source.maxBytes) {
      break;
    }
    keys.delete(key);
    if (stored !== undefined) {
      batch.items.push(stored.item);
      bytes += size;
    }
  }
  return bytes;
}

/**
 * Returns the approximate size of records on the wire, in bytes.
 *
 * @example
 * ```ts
 * const bytes = computeRecordsBytes(table.listShared());
 * ```
 * @param records - The records to send.
 */
export function computeRecordsBytes(records: readonly MemberRecord[]): number {
  return records.reduce((sum, record) => sum + computeRecordBytes(record), 0);
}

function computeRecordBytes(record: MemberRecord): number {
  return RECORD_OVERHEAD_BYTES + record.host.length + record.address.length +
    record.failureDomain.length + record.region.length;
}
