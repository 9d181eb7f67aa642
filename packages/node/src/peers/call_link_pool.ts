/**
 * A pool of links for calls to peers, one link per host. Idle links are closed.
 * A link with calls in flight is pinged, so that an unresponsive connection is
 * detected and replaced.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import { DialledPeer } from "./dialled_peer.ts";
import type { PeerCall } from "./peer_network.ts";
import type { PeerContext } from "./peer_network_setup.ts";

const DIAL_TIMEOUT_MS = 2_000;
const IDLE_TIMEOUT_MS = 120_000;
const PING_INTERVAL_MS = 1_000;
const RECEIVE_TIMEOUT_MS = 3_000;

interface CallLink {
  readonly peer: DialledPeer;
  inFlightCalls: number;
  lastUsedAtMs: number;
  lastPingAtMs: number;
  lastReceivedAtMs: number;
}

/** The host to call and the address of its peer listener. */
export interface CallTarget {
  readonly host: HostId;
  readonly address: string;
}

/** A pool of links for calls to peers, opened on demand. */
export class CallLinkPool {
  readonly #context: PeerContext;
  readonly #links = new Map<HostId, Promise<CallLink>>();
  readonly #openLinks = new Set<CallLink>();

  constructor(context: PeerContext) {
    this.#context = context;
  }

  /**
   * Calls a procedure of a peer; fails with a `PortError`.
   *
   * @param target - The peer to call.
   * @param call - The procedure, its input and the timeout.
   */
  async call(target: CallTarget, call: PeerCall): Promise<unknown> {
    const link = await this.#getLink(target);
    link.inFlightCalls++;
    link.lastReceivedAtMs = this.#getNowMs();
    link.lastUsedAtMs = link.lastReceivedAtMs;
    try {
      return await link.peer.call(call.procedure, call);
    } finally {
      link.inFlightCalls--;
      link.lastUsedAtMs = this.#getNowMs();
    }
  }

  /**
   * Pings links with calls in flight, and closes idle and unresponsive links.
   *
   * @param nowMs - The current monotonic time.
   */
  advance(nowMs: number): void {
    for (const link of this.#openLinks) {
      const isIdle = link.inFlightCalls === 0;
      if (isIdle && nowMs - link.lastUsedAtMs > IDLE_TIMEOUT_MS) {
        link.peer.close();
      } else if (
        !isIdle && nowMs - link.lastReceivedAtMs > RECEIVE_TIMEOUT_MS
      ) {
        link.peer.close();
      } else if (!isIdle && nowMs - link.lastPingAtMs > PING_INTERVAL_MS) {
        this.#sendPing(link, nowMs);
      }
    }
  }

  /** Closes all links. */
  closeAll(): void {
    this.#openLinks.forEach((link) => link.peer.close());
  }

  async #getLink(target: CallTarget): Promise<CallLink> {
    const known = this.#links.get(target.host);
    if (known !== undefined) {
      const link = await known;
      if (!link.peer.isClosed()) {
        return link;
      }
    }
    const opening = this.#openLink(target);
    this.#links.set(target.host, opening);
    opening.catch(() => this.#removeLink(target.host, opening));
    return await opening;
  }

  async #openLink(target: CallTarget): Promise<CallLink> {
    const peer = await DialledPeer.open({
      ...this.#context,
      address: target.address,
      purpose: "call",
      identity: this.#context.responder.getIdentity(),
      timeoutMs: DIAL_TIMEOUT_MS,
    });
    const nowMs = this.#getNowMs();
    const link = {
      peer,
      inFlightCalls: 0,
      lastUsedAtMs: nowMs,
      lastPingAtMs: nowMs,
      lastReceivedAtMs: nowMs,
    };
    this.#openLinks.add(link);
    peer.subscribeClosed(() => this.#openLinks.delete(link));
    return link;
  }

  #removeLink(host: HostId, opening: Promise<CallLink>): void {
    if (this.#links.get(host) === opening) {
      this.#links.delete(host);
    }
  }

  #sendPing(link: CallLink, nowMs: number): void {
    link.lastPingAtMs = nowMs;
    link.peer.sendPing().then(
      () => link.lastReceivedAtMs = this.#getNowMs(),
      () => link.peer.close(),
    );
  }

  #getNowMs(): number {
    return this.#context.clock.getMonotonicMs();
  }
}
