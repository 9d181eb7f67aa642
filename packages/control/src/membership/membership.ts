/**
 * State machine of the gossip membership of one host. It performs no I/O: the
 * caller reports time, link events and messages, and executes the commands.
 * @module
 */
import { DialRegistry } from "./dial_registry.ts";
import { FailureDetector } from "./failure_detector.ts";
import { getItemKey, GossipItems } from "./gossip_items.ts";
import { LinkRegistry } from "./link_registry.ts";
import type { MemberRecord } from "./member_record.ts";
import type { MemberLink } from "./member_link.ts";
import { MemberTable } from "./member_table.ts";
import type {
  LinkId,
  MembershipCommand,
  MembershipMessage,
  OpenedLink,
} from "./membership_message.ts";
import type { MembershipOptions } from "./membership_options.ts";
import type { MembershipSetup } from "./membership_setup.ts";
import { MemberUpdates } from "./member_updates.ts";
import { MembershipSender } from "./membership_sender.ts";
import { NeighbourManager } from "./neighbour_manager.ts";

const RECENT_ITEMS_MS = 60_000;
const SYNC_AFTER_MISMATCHES = 2;

/** Decides what one host sends and whom it dials, from time, link events and messages. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #table = new MemberTable();
  readonly #items = new GossipItems();
  readonly #links: LinkRegistry;
  readonly #dials: DialRegistry;
  readonly #neighbours: NeighbourManager;
  readonly #sender: MembershipSender;
  readonly #updates: MemberUpdates;
  readonly #detector: FailureDetector;
  #sequence = 0;
  #nextPruneMs: number;
  #commands: MembershipCommand[] = [];

  constructor(setup: MembershipSetup, nowMs: number) {
    const { self, options } = setup;
    this.#options = options;
    this.#nextPruneMs = nowMs;
    this.#links = new LinkRegistry(self.host, options.receiveTimeoutMs);
    this.#dials = new DialRegistry(options);
    const context = {
      ...setup,
      table: this.#table,
      items: this.#items,
      links: this.#links,
      dials: this.#dials,
    };
    this.#neighbours = new NeighbourManager(context, nowMs);
    this.#sender = new MembershipSender(context, nowMs);
    this.#updates = new MemberUpdates(
      { ...context, sender: this.#sender },
      nowMs,
    );
    this.#detector = new FailureDetector(
      { ...context, updates: this.#updates },
      nowMs,
    );
  }

  /** Returns the record of the local host. */
  getLocalMember(): MemberRecord {
    return this.#updates.getSelf();
  }

  /** Returns the records of all hosts, including failed ones. */
  listRecords(): readonly MemberRecord[] {
    return this.#table.listRecords();
  }

  /** Returns the number of open links. */
  countLinks(): number {
    return this.#links.listLinks().length;
  }

  /**
   * Advances the time and returns the commands that are due.
   *
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly MembershipCommand[] {
    this.#commands.push(...this.#detector.advance(nowMs));
    this.#commands.push(...this.#neighbours.advance(nowMs));
    this.#commands.push(...this.#sender.advance(nowMs));
    this.#prune(nowMs);
    return this.#removeCommands();
  }

  /**
   * Handles a link that was opened and authenticated.
   *
   * @param opened - The link, with the dialled address on the side that dialled.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  handleLinkOpened(
    opened: OpenedLink & { readonly address?: string },
    nowMs: number,
  ): readonly MembershipCommand[] {
    if (opened.address !== undefined) {
      const { address, host } = opened;
      this.#detector.handleDialled({ address, host }, nowMs);
    }
    const closed = this.#links.addLink(opened, nowMs);
    if (closed !== undefined) {
      this.#commands.push({ kind: "close", link: closed });
    }
    const link = this.#links.getLink(opened.link);
    if (link !== undefined) {
      const known = this.#table.getRecord(opened.host);
      link.isFullSyncDue = known === undefined || known.status === "failed";
      link.addRecord(this.getLocalMember().host);
      this.#sender.addItemsSince(link, nowMs - RECENT_ITEMS_MS);
    }
    return this.#removeCommands();
  }

  /**
   * Handles the closing of a link.
   *
   * @param link - The id of the link.
   */
  handleLinkClosed(link: LinkId): readonly MembershipCommand[] {
    this.#links.removeLink(link);
    return this.#removeCommands();
  }

  /**
   * Handles a failed dial.
   *
   * @param address - The address that was dialled.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  handleDialFailed(
    address: string,
    nowMs: number,
  ): readonly MembershipCommand[] {
    this.#detector.handleDialFailed(address, nowMs);
    return this.#removeCommands();
  }

  /**
   * Handles the acknowledgement of a message by the peer.
   *
   * @param link - The id of the link.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  handleAcknowledged(link: LinkId, nowMs: number): void {
    const found = this.#links.getLink(link);
    if (found !== undefined) {
      found.lastReceivedMs = nowMs;
    }
  }

  /**
   * Handles a received message.
   *
   * @param received - The message and the link on which it arrived.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  handleMessage(
    received: { readonly link: LinkId; readonly message: MembershipMessage },
    nowMs: number,
  ): readonly MembershipCommand[] {
    const link = this.#links.getLink(received.link);
    if (link === undefined) {
      return [];
    }
    const { message } = received;
    link.lastReceivedMs = nowMs;
    for (const record of message.records) {
      this.#updates.applyRecord(record, { from: received.link, nowMs });
    }
    for (const item of message.items) {
      this.#updates.applyItem(item, { from: received.link, nowMs });
    }
    if (message.whole) {
      this.#sender.handleFullTable(link, message.records);
    }
    link.digestMismatches = message.digest === this.#table.digest
      ? 0
      : link.digestMismatches + 1;
    if (link.digestMismatches === 0) {
      link.isFullSyncDue = false;
    } else if (this.#isSyncDue(link, nowMs)) {
      link.isFullSyncDue = true;
    }
    return this.#removeCommands();
  }

  /**
   * Publishes a payload to all hosts. It replaces the previous one of the topic.
   *
   * @param published - The topic and the payload.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  publish(
    published: { readonly topic: string; readonly payload: unknown },
    nowMs: number,
  ): void {
    const { host, incarnation } = this.getLocalMember();
    const sequence = ++this.#sequence;
    const item = { ...published, host, incarnation, sequence };
    this.#items.addItem(item, nowMs);
    this.#sender.addItem(getItemKey(item), undefined);
  }

  /**
   * Announces to the other hosts that this host is stopping or has stopped.
   *
   * @param status - "alive" while it still serves, "failed" once it has stopped.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  announceLeaving(status: "alive" | "failed", nowMs: number): void {
    const self = this.#updates.getSelf();
    this.#updates.setSelf({ ...self, status, leaving: true }, nowMs);
  }

  /** Waits for recent changes to spread, as tables differ until then without needing a sync. */
  #isSyncDue(link: MemberLink, nowMs: number): boolean {
    return link.digestMismatches >= SYNC_AFTER_MISMATCHES &&
      nowMs - link.lastSyncMs >= this.#options.minSyncIntervalMs &&
      nowMs - this.#updates.lastChangedMs >= this.#options.receiveTimeoutMs;
  }

  #prune(nowMs: number): void {
    if (nowMs < this.#nextPruneMs) {
      return;
    }
    this.#nextPruneMs = nowMs + RECENT_ITEMS_MS;
    this.#table.pruneFailed(nowMs - this.#options.tombstoneRetentionMs);
    const running = this.#table.listRunning();
    this.#items.pruneHosts(new Set(running.map(({ host }) => host)));
    this.#dials.pruneFailures(
      new Set(this.#table.listRecords().map(({ address }) => address)),
    );
  }

  #removeCommands(): readonly MembershipCommand[] {
    const commands = [...this.#updates.removeCommands(), ...this.#commands];
    this.#commands = [];
    return commands;
  }
}
