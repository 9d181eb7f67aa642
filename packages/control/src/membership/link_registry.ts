/**
 * Registry of the open links, which holds at most one link per peer.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import { MemberLink } from "./member_link.ts";
import type { LinkId, OpenedLink } from "./membership_message.ts";

/** Registers open links by id and by host. */
export class LinkRegistry {
  readonly #self: HostId;
  readonly #receiveTimeoutMs: number;
  readonly #byHost = new Map<HostId, MemberLink>();
  readonly #byId = new Map<LinkId, MemberLink>();

  constructor(self: HostId, receiveTimeoutMs: number) {
    this.#self = self;
    this.#receiveTimeoutMs = receiveTimeoutMs;
  }

  /**
   * Returns the link with an id.
   *
   * @param link - The id of the link.
   */
  getLink(link: LinkId): MemberLink | undefined {
    return this.#byId.get(link);
  }

  /**
   * Returns the link to a host.
   *
   * @param host - The peer.
   */
  getLinkTo(host: HostId): MemberLink | undefined {
    return this.#byHost.get(host);
  }

  /** Returns all open links. */
  listLinks(): readonly MemberLink[] {
    return [...this.#byId.values()];
  }

  /**
   * Adds a link. When the peer already has one, returns the link to close, which
   * may be the new one.
   *
   * @param opened - The new link.
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  addLink(opened: OpenedLink, nowMs: number): LinkId | undefined {
    const existing = this.#byHost.get(opened.host);
    if (existing !== undefined && this.#shouldRetain(existing, opened, nowMs)) {
      return opened.link;
    }
    if (existing !== undefined) {
      this.removeLink(existing.opened.link);
    }
    const link = new MemberLink(opened, nowMs);
    this.#byHost.set(opened.host, link);
    this.#byId.set(opened.link, link);
    return existing?.opened.link;
  }

  /**
   * Removes a link.
   *
   * @param link - The id of the link.
   */
  removeLink(link: LinkId): MemberLink | undefined {
    const removed = this.#byId.get(link);
    if (removed !== undefined) {
      this.#byId.delete(link);
      this.#byHost.delete(removed.opened.host);
    }
    return removed;
  }

  /**
   * Returns whether an existing link is retained in favour of a new one. When both
   * ends dial at the same time, both retain the link that the lower host dialled.
   */
  #shouldRetain(
    existing: MemberLink,
    opened: OpenedLink,
    nowMs: number,
  ): boolean {
    if (
      existing.opened.role === opened.role ||
      existing.opened.incarnation !== opened.incarnation ||
      nowMs - existing.lastReceivedMs > this.#receiveTimeoutMs
    ) {
      return false;
    }
    return (existing.opened.role === "dialled") === (this.#self < opened.host);
  }
}
