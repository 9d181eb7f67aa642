/**
 * Schedules the messages on the links within a rate limit in bytes per second.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import type { GossipItems, ItemKey } from "./gossip_items.ts";
import type { LinkRegistry } from "./link_registry.ts";
import { computeRecordsBytes, type MemberLink } from "./member_link.ts";
import type { MemberRecord } from "./member_record.ts";
import type { MemberTable } from "./member_table.ts";
import type {
  LinkId,
  MembershipCommand,
  MembershipMessage,
} from "./membership_message.ts";
import {
  getGossipBytesPerSecond,
  type MembershipOptions,
} from "./membership_options.ts";

/** The options and the state that a `MembershipSender` reads and changes. */
export interface MembershipSenderContext {
  readonly options: MembershipOptions;
  readonly table: MemberTable;
  readonly items: GossipItems;
  readonly links: LinkRegistry;
}

const BURST_SECONDS = 2;

/** Builds the messages on the links and limits their rate. */
export class MembershipSender {
  readonly #context: MembershipSenderContext;
  /** The bytes that may be sent now; negative after a large batch. */
  #budgetBytes: number;
  /** The budget of complete tables, separate so that they do not delay updates. */
  #tableBudgetBytes: number;
  #refilledMs: number;
  #nextLink = 0;

  constructor(context: MembershipSenderContext, nowMs: number) {
    this.#context = context;
    this.#refilledMs = nowMs;
    this.#budgetBytes = context.options.maxMessageBytes;
    this.#tableBudgetBytes = context.options.maxMessageBytes;
  }

  /**
   * Queues a record on all links but one.
   *
   * @param host - The host of the record.
   * @param except - The link on which it was received.
   */
  addRecord(host: HostId, except: LinkId | undefined): void {
    for (const link of this.#context.links.listLinks()) {
      if (link.opened.link !== except) {
        link.addRecord(host);
      }
    }
  }

  /**
   * Queues an item on all links but one.
   *
   * @param key - The item's key.
   * @param except - The link on which it was received.
   */
  addItem(key: ItemKey, except: LinkId | undefined): void {
    const rare = this.#context.items.getItem(key)?.rare ?? false;
    for (const link of this.#context.links.listLinks()) {
      if (link.opened.link !== except) {
        link.addItem(key, rare);
      }
    }
  }

  /**
   * Queues on a link the items that were stored at or after a given time.
   *
   * @param link - The link.
   * @param sinceMs - The inclusive lower bound, in monotonic time.
   */
  addItemsSince(link: MemberLink, sinceMs: number): void {
    const { items } = this.#context;
    for (const key of items.listKeysSince(sinceMs)) {
      link.addItem(key, items.getItem(key)?.rare ?? false);
    }
  }

  /**
   * Handles a peer's complete table and queues the records and items that the
   * peer may lack.
   *
   * @param link - The link to the peer.
   * @param records - The records of the peer's table.
   */
  handleFullTable(link: MemberLink, records: readonly MemberRecord[]): void {
    const { table } = this.#context;
    const known = new Set(records.map(({ host }) => host));
    const missing = table.listRunning().filter(({ host }) => !known.has(host));
    if (missing.length * 2 > table.listRunning().length) {
      link.isFullSyncDue = true;
    } else {
      missing.forEach(({ host }) => link.addRecord(host));
    }
    this.addItemsSince(link, -Infinity);
  }

  /**
   * Returns the messages that are due.
   *
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly MembershipCommand[] {
    this.#addBudget(nowMs);
    const links = this.#context.links.listLinks();
    const commands: MembershipCommand[] = [];
    // Rotates the order, so that no link is always served last.
    this.#nextLink = (this.#nextLink + 1) % Math.max(1, links.length);
    for (let index = 0; index < links.length; index++) {
      const link = links[(index + this.#nextLink) % links.length];
      if (link !== undefined && this.#isDue(link, nowMs)) {
        const message = this.#buildMessage(link, nowMs);
        commands.push({ kind: "send", link: link.opened.link, message });
      }
    }
    return commands;
  }

  #addBudget(nowMs: number): void {
    const hosts = this.#context.table.listRunning().length;
    const bytesPerSecond = getGossipBytesPerSecond(hosts);
    const addedBytes = bytesPerSecond * (nowMs - this.#refilledMs) / 1000;
    this.#refilledMs = nowMs;
    const maxBudgetBytes = bytesPerSecond * BURST_SECONDS;
    this.#budgetBytes = Math.min(
      maxBudgetBytes,
      this.#budgetBytes + addedBytes,
    );
    this.#tableBudgetBytes = Math.min(
      maxBudgetBytes,
      this.#tableBudgetBytes + addedBytes,
    );
  }

  #isDue(link: MemberLink, nowMs: number): boolean {
    const { heartbeatIntervalMs, minSendIntervalMs } = this.#context.options;
    const sinceSentMs = nowMs - link.lastSentMs;
    if (link.opened.role === "dialled" && sinceSentMs >= heartbeatIntervalMs) {
      return true;
    }
    return sinceSentMs >= minSendIntervalMs &&
      (this.#isFullSyncReady(link) ||
        link.hasPending() && this.#budgetBytes > 0);
  }

  #isFullSyncReady(link: MemberLink): boolean {
    return link.isFullSyncDue && this.#tableBudgetBytes > 0;
  }

  #buildMessage(link: MemberLink, nowMs: number): MembershipMessage {
    const { table, items, options } = this.#context;
    const fullTable = this.#isFullSyncReady(link)
      ? table.listShared()
      : undefined;
    if (fullTable !== undefined) {
      this.#tableBudgetBytes -= computeRecordsBytes(fullTable);
      link.clearRecords();
      link.lastSyncMs = nowMs;
      this.addItemsSince(link, -Infinity);
    }
    const maxBytes = this.#budgetBytes > 0 ? options.maxMessageBytes : 0;
    const batch = link.removeBatch({ table, items, maxBytes });
    this.#budgetBytes -= batch.bytes;
    link.lastSentMs = nowMs;
    return {
      digest: table.digest,
      whole: fullTable !== undefined,
      records: fullTable ?? batch.records,
      items: batch.items,
    };
  }
}
