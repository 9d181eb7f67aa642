/**
 * Tracks the open gossip links by the link ids that the membership protocol
 * uses.
 * @module
 */
import type { Membership } from "@briarhill/control/membership/membership";
import type {
  LinkId,
  MembershipCommand,
  MembershipMessage,
} from "@briarhill/control/membership/membership_message";
import type { AcceptedPeer } from "./accepted_peer.ts";
import { DialledPeer } from "./dialled_peer.ts";
import { decodeMessage, encodeMessage } from "./message_codec.ts";
import type { PeerContext } from "./peer_network_setup.ts";

const DIAL_TIMEOUT_MS = 2_000;

/** Applies events to the membership protocol and executes the resulting commands. */
export interface MembershipDriver {
  /** Passes the membership to a callback and executes the commands that it returns. */
  readonly apply: (
    decide: (membership: Membership) => readonly MembershipCommand[],
  ) => void;
}

/** Tracks the open gossip links, dialled and accepted. */
export class LinkTable {
  readonly #context: PeerContext;
  readonly #driver: MembershipDriver;
  readonly #dialled = new Map<LinkId, DialledPeer>();
  readonly #accepted = new Map<LinkId, AcceptedPeer>();
  readonly #ids = new WeakMap<AcceptedPeer, LinkId>();
  #nextLink = 1;
  #isClosed = false;

  constructor(context: PeerContext, driver: MembershipDriver) {
    this.#context = context;
    this.#driver = driver;
  }

  /**
   * Dials a peer, and reports the open link or the failure to the membership.
   *
   * @param address - The address of the peer's listener.
   */
  async dial(address: string): Promise<void> {
    try {
      const peer = await DialledPeer.open({
        ...this.#context,
        address,
        purpose: "gossip",
        identity: this.#context.responder.getIdentity(),
        timeoutMs: DIAL_TIMEOUT_MS,
      });
      this.#addDialled(address, peer);
    } catch {
      const nowMs = this.#context.clock.getMonotonicMs();
      this.#driver.apply((m) => m.handleDialFailed(address, nowMs));
    }
  }

  /**
   * Adds a link that a peer opened.
   *
   * @param peer - The accepting end of the link; its peer is authenticated.
   */
  addAccepted(peer: AcceptedPeer): void {
    const link = this.#nextLink++;
    const { host, incarnation } = peer.getPeerOrThrow();
    this.#accepted.set(link, peer);
    this.#ids.set(peer, link);
    peer.subscribeClosed(() => this.#handleClosed(link));
    const opened = { link, host, incarnation, role: "accepted" } as const;
    const nowMs = this.#context.clock.getMonotonicMs();
    this.#driver.apply((m) => m.handleLinkOpened(opened, nowMs));
  }

  /**
   * Handles a batch of gossip received on an accepted link.
   *
   * @param peer - The accepting end of the link.
   * @param message - The encoded batch.
   */
  handleGossip(peer: AcceptedPeer, message: unknown): void {
    const link = this.#ids.get(peer);
    if (link !== undefined) {
      this.#handleMessage(link, message);
    }
  }

  /**
   * Sends a batch of gossip; ignored if the link is closed.
   *
   * @param link - The link's id.
   * @param message - The batch.
   */
  send(link: LinkId, message: MembershipMessage): void {
    const encoded = encodeMessage(message);
    const dialled = this.#dialled.get(link);
    if (dialled === undefined) {
      this.#accepted.get(link)?.sendPushMessage(encoded);
      return;
    }
    dialled.sendGossip(encoded).then(() => {
      const nowMs = this.#context.clock.getMonotonicMs();
      this.#driver.apply((membership) => {
        membership.handleAcknowledged(link, nowMs);
        return [];
      });
    }, () => dialled.close());
  }

  /**
   * Closes a link; ignored if it is already closed.
   *
   * @param link - The link's id.
   */
  close(link: LinkId): void {
    this.#dialled.get(link)?.close();
    this.#accepted.get(link)?.close();
  }

  /** Closes all links, and each link whose dial completes later. */
  closeAll(): void {
    this.#isClosed = true;
    this.#dialled.forEach((peer) => peer.close());
    this.#accepted.forEach((peer) => peer.close());
  }

  #addDialled(address: string, peer: DialledPeer): void {
    if (this.#isClosed) {
      peer.close();
      return;
    }
    const link = this.#nextLink++;
    const { host, incarnation } = peer.getPeer();
    this.#dialled.set(link, peer);
    peer.subscribeClosed(() => this.#handleClosed(link));
    const opened = {
      link,
      host,
      incarnation,
      role: "dialled",
      address,
    } as const;
    const nowMs = this.#context.clock.getMonotonicMs();
    this.#driver.apply((m) => m.handleLinkOpened(opened, nowMs));
    peer.subscribePushMessages((message) =>
      this.#handlePushMessage(link, message)
    );
  }

  /** Closes the link on an invalid message, as a pushed message has no reply to carry an error. */
  #handlePushMessage(link: LinkId, message: unknown): void {
    try {
      this.#handleMessage(link, message);
    } catch {
      this.close(link);
    }
  }

  #handleMessage(link: LinkId, encoded: unknown): void {
    const message = decodeMessage(encoded);
    const nowMs = this.#context.clock.getMonotonicMs();
    this.#driver.apply((membership) =>
      membership.handleMessage({ link, message }, nowMs)
    );
  }

  #handleClosed(link: LinkId): void {
    this.#dialled.delete(link);
    this.#accepted.delete(link);
    this.#driver.apply((membership) => membership.handleLinkClosed(link));
  }
}
