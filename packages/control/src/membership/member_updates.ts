/**
 * Applies record and item updates to the state of one host, and forwards those
 * that changed it.
 * @module
 */
import {
  getItemKey,
  type GossipItem,
  type GossipItems,
} from "./gossip_items.ts";
import type { LinkRegistry } from "./link_registry.ts";
import { compareRecords, type MemberRecord } from "./member_record.ts";
import type { MemberTable } from "./member_table.ts";
import type { LinkId, MembershipCommand } from "./membership_message.ts";
import type { MembershipSender } from "./membership_sender.ts";

/** The state that `MemberUpdates` reads and changes. */
export interface MemberUpdatesContext {
  readonly self: MemberRecord;
  readonly table: MemberTable;
  readonly items: GossipItems;
  readonly links: LinkRegistry;
  readonly sender: MembershipSender;
}

/** The link on which an update was received, and the time. */
export interface UpdateSource {
  readonly from: LinkId;
  readonly nowMs: number;
}

/** The time after its start during which a host raises its incarnation above that of an earlier process. */
const JOIN_WINDOW_MS = 10_000;

/** Applies updates to the state of one host. */
export class MemberUpdates {
  /** When the table last changed, in monotonic time. */
  lastChangedMs = -Infinity;
  readonly #context: MemberUpdatesContext;
  readonly #startedMs: number;
  #self: MemberRecord;
  #commands: MembershipCommand[] = [];

  constructor(context: MemberUpdatesContext, nowMs: number) {
    this.#context = context;
    this.#startedMs = nowMs;
    this.#self = context.self;
    context.table.mergeRecord(context.self, nowMs);
  }

  /** Returns the record of the local host. */
  getSelf(): MemberRecord {
    return this.#self;
  }

  /** Removes and returns the pending commands. */
  removeCommands(): readonly MembershipCommand[] {
    const commands = this.#commands;
    this.#commands = [];
    return commands;
  }

  /**
   * Replaces the record of the local host.
   *
   * @param record - The local host's new record.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  setSelf(record: MemberRecord, nowMs: number): void {
    this.#self = record;
    this.applyChange(record, nowMs);
  }

  /**
   * Applies a change that was detected locally.
   *
   * @param record - The new record.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  applyChange(record: MemberRecord, nowMs: number): void {
    if (this.#context.table.mergeRecord(record, nowMs).changed) {
      this.lastChangedMs = nowMs;
      this.#context.sender.addRecord(record.host, undefined);
      this.#commands.push({ kind: "change" });
    }
  }

  /**
   * Applies a record that was received from a peer.
   *
   * @param record - The received record.
   * @param source - The link and the time at which it was received.
   */
  applyRecord(
    record: MemberRecord,
    source: UpdateSource,
  ): void {
    const { from, nowMs } = source;
    if (record.host === this.#self.host) {
      this.#applyLocalRecord(record, nowMs);
      return;
    }
    const { changed, outdated } = this.#context.table.mergeRecord(
      record,
      nowMs,
    );
    if (changed) {
      this.lastChangedMs = nowMs;
      this.#context.sender.addRecord(record.host, outdated ? undefined : from);
      this.#commands.push({ kind: "change" });
    } else if (outdated) {
      this.#context.links.getLink(from)?.addRecord(record.host);
    }
  }

  #applyLocalRecord(record: MemberRecord, nowMs: number): void {
    const self = this.#self;
    if (record.incarnation > self.incarnation) {
      this.#handleNewerIncarnation(record, nowMs);
    } else if (compareRecords(record, self) > 0 && self.status !== "failed") {
      const refutation = record.refutation + 1;
      this.setSelf({ ...self, refutation }, nowMs);
    }
  }

  /**
   * Raises the local incarnation above that of an earlier process of this host,
   * since which the wall clock may have gone back. After the join window,
   * the record is attributed to a later process, which supersedes this one.
   */
  #handleNewerIncarnation(record: MemberRecord, nowMs: number): void {
    if (nowMs - this.#startedMs > JOIN_WINDOW_MS) {
      this.#commands.push({ kind: "superseded" });
      return;
    }
    const incarnation = record.incarnation + 1;
    this.setSelf({ ...this.#self, incarnation, refutation: 0 }, nowMs);
  }

  /**
   * Applies an item that was received from a peer.
   *
   * @param item - The received item.
   * @param source - The link and the time at which it was received.
   */
  applyItem(
    item: GossipItem,
    source: UpdateSource,
  ): void {
    if (
      item.host === this.#self.host ||
      !this.#context.items.addItem(item, source.nowMs)
    ) {
      return;
    }
    this.#context.sender.addItem(getItemKey(item), source.from);
    this.#commands.push({ kind: "deliver", item });
  }
}
