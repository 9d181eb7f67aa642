/**
 * The peer network over tRPC: executes the commands of the membership protocol,
 * and makes and handles calls.
 * @module
 */
import { InputError, NotFoundError } from "@briarhill/common/errors/errors";
import type { HostId } from "@briarhill/common/ids/ids";
import type { Timer } from "@briarhill/common/time/clock";
import type { GossipItem } from "@briarhill/control/membership/gossip_items";
import { Membership } from "@briarhill/control/membership/membership";
import type { MemberRecord } from "@briarhill/control/membership/member_record";
import type { MembershipCommand } from "@briarhill/control/membership/membership_message";
import type { AcceptedPeer, LinkPurpose } from "./accepted_peer.ts";
import { CallLinkPool } from "./call_link_pool.ts";
import { LinkTable } from "./link_table.ts";
import { PeerAuthenticator, type PeerIdentity } from "./peer_authenticator.ts";
import { PeerListener } from "./peer_listener.ts";
import {
  type Member,
  type PeerCall,
  type PeerHandler,
  PeerNetwork,
} from "./peer_network.ts";
import type { PeerResponder } from "./peer_router.ts";
import type { PeerNetworkSetup } from "./peer_network_setup.ts";
import { createLocalMemberRecord, toMember } from "./local_member_record.ts";
import { type Traffic, TrafficMeter } from "./traffic_meter.ts";

const TICK_INTERVAL_MS = 100;
/** Leaves time for the last announcement to reach the peers before the links close. */
const LEAVE_GOSSIP_MS = 300;
const MAX_PAYLOAD_BYTES = 4_096;

/** The peer network over tRPC. */
export class TrpcPeerNetwork extends PeerNetwork implements PeerResponder {
  readonly #setup: PeerNetworkSetup;
  readonly #meter = new TrafficMeter();
  readonly #authenticator: PeerAuthenticator;
  readonly #listener: PeerListener;
  readonly #gossipLinks: LinkTable;
  readonly #callLinks: CallLinkPool;
  readonly #handlers = new Map<string, PeerHandler>();
  readonly #callbacks: (() => void)[] = [];
  readonly #unpublished = new Map<string, unknown>();
  #record: MemberRecord;
  #membership: Membership | undefined;
  #timer: Timer | undefined;

  constructor(setup: PeerNetworkSetup) {
    super();
    this.#setup = setup;
    this.#record = createLocalMemberRecord(setup, setup.listen.port);
    this.#authenticator = new PeerAuthenticator(setup.keys);
    const context = {
      meter: this.#meter,
      authenticator: this.#authenticator,
      clock: setup.clock,
      responder: this,
    };
    this.#listener = new PeerListener(context);
    this.#gossipLinks = new LinkTable(context, {
      apply: (decide) => this.#apply(decide),
    });
    this.#callLinks = new CallLinkPool(context);
  }

  /** Starts listening and joining, and returns the port. */
  async start(): Promise<number> {
    const { listen, clock, options, random, seeds } = this.#setup;
    const port = await this.#listener.start(listen);
    this.#record = createLocalMemberRecord(this.#setup, port);
    this.#membership = new Membership(
      { self: this.#record, seeds, options, random },
      clock.getMonotonicMs(),
    );
    this.#unpublished.forEach((payload, topic) => this.publish(topic, payload));
    this.#runTick();
    return port;
  }

  /** Announces to the peers that this host is about to stop. */
  announceLeaving(): void {
    this.#membership?.announceLeaving(
      "alive",
      this.#setup.clock.getMonotonicMs(),
    );
  }

  /** Announces to the peers that this host has stopped, and closes all links after a short delay. */
  async stop(): Promise<void> {
    const { clock } = this.#setup;
    if (this.#membership === undefined) {
      return;
    }
    this.#membership.announceLeaving("failed", clock.getMonotonicMs());
    await clock.sleep(LEAVE_GOSSIP_MS);
    this.#timer?.cancel();
    this.#membership = undefined;
    this.#gossipLinks.closeAll();
    this.#callLinks.closeAll();
    await this.#listener.stop();
  }

  /** Returns the cumulative traffic of the network's sockets. */
  getTraffic(): Traffic {
    return this.#meter.getTraffic();
  }

  /** Returns the number of open gossip links. */
  countLinks(): number {
    return this.#membership?.countLinks() ?? 0;
  }

  override getLocalMember(): Member {
    return toMember(this.#membership?.getLocalMember() ?? this.#record);
  }

  override getMembers(): readonly Member[] {
    return (this.#membership?.listRecords() ?? [this.#record]).map(toMember);
  }

  override register(procedure: string, handler: PeerHandler): void {
    this.#handlers.set(procedure, handler);
  }

  override call(host: HostId, call: PeerCall): Promise<unknown> {
    const localMember = this.getLocalMember();
    if (host === localMember.host) {
      return this.handleCall(call, localMember);
    }
    const address = this.getMembers()
      .find((member) => member.host === host)?.address;
    if (address === undefined) {
      return Promise.reject(
        new NotFoundError(`no member has the host id "${host}"`),
      );
    }
    return this.#callLinks.call({ host, address }, call);
  }

  override publish(topic: string, payload: unknown): void {
    const bytes = (JSON.stringify(payload) ?? "").length;
    if (bytes > MAX_PAYLOAD_BYTES) {
      throw new InputError(
        `gossip payload of topic "${topic}" has ${bytes} bytes, expected at most ${MAX_PAYLOAD_BYTES}`,
      );
    }
    if (this.#membership === undefined) {
      this.#unpublished.set(topic, payload);
      return;
    }
    const nowMs = this.#setup.clock.getMonotonicMs();
    this.#membership.publish({ topic, payload }, nowMs);
  }

  override subscribe(callback: () => void): void {
    this.#callbacks.push(callback);
  }

  /** Returns the identity of this host. */
  getIdentity(): PeerIdentity {
    const { host, incarnation } = this.getLocalMember();
    return { host, incarnation };
  }

  /**
   * Handles a link whose peer has authenticated.
   *
   * @param peer - The accepting end of the link.
   * @param purpose - The kind of traffic that the link carries.
   */
  handleAccepted(peer: AcceptedPeer, purpose: LinkPurpose): void {
    if (purpose === "gossip") {
      this.#gossipLinks.addAccepted(peer);
    }
  }

  /**
   * Handles a batch of gossip.
   *
   * @param peer - The link that the batch was received on.
   * @param message - The encoded batch.
   */
  handleGossip(peer: AcceptedPeer, message: unknown): void {
    this.#gossipLinks.handleGossip(peer, message);
  }

  /**
   * Handles a call and returns its result.
   *
   * @param call - The procedure and its input.
   * @param from - The identity of the caller.
   */
  async handleCall(
    call: { readonly procedure: string; readonly input: unknown },
    from: PeerIdentity,
  ): Promise<unknown> {
    const handler = this.#handlers.get(call.procedure);
    if (handler === undefined) {
      throw new NotFoundError(`no handler for "${call.procedure}"`);
    }
    return await handler(call.input, from.host);
  }

  #runTick(): void {
    const { clock } = this.#setup;
    const nowMs = clock.getMonotonicMs();
    this.#apply((membership) => membership.advance(nowMs));
    this.#callLinks.advance(nowMs);
    this.#timer = clock.setTimer(TICK_INTERVAL_MS, () => this.#runTick());
  }

  #apply(
    decide: (membership: Membership) => readonly MembershipCommand[],
  ): void {
    if (this.#membership === undefined) {
      return;
    }
    const commands = decide(this.#membership);
    commands.forEach((command) => this.#applyCommand(command));
    if (commands.some(({ kind }) => kind === "change")) {
      this.#callbacks.forEach((callback) => callback());
    }
  }

  #applyCommand(command: MembershipCommand): void {
    if (command.kind === "dial") {
      void this.#gossipLinks.dial(command.address);
    } else if (command.kind === "send") {
      this.#gossipLinks.send(command.link, command.message);
    } else if (command.kind === "close") {
      this.#gossipLinks.close(command.link);
    } else if (command.kind === "superseded") {
      this.#setup.logger.warn("host-superseded", { host: this.#setup.host });
      this.#setup.onSuperseded?.();
    } else if (command.kind === "deliver") {
      void this.#deliver(command.item);
    }
  }

  /** Logs a failure of the handler, which must not prevent later commands from being applied. */
  async #deliver({ topic, host, payload }: GossipItem): Promise<void> {
    try {
      await this.#handlers.get(topic)?.(payload, host);
    } catch (error) {
      this.#setup.logger.error("gossip-handler-failed", error, { topic, host });
    }
  }
}
