/**
 * In-memory network of simulated hosts with injected faults, in virtual time.
 * @module
 */
import { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { Membership } from "../../src/membership/membership.ts";
import type {
  LinkId,
  MembershipCommand,
  MembershipMessage,
} from "../../src/membership/membership_message.ts";
import {
  type Connection,
  createMembership,
  hasConsistentView,
  type SimulatedHost,
  type SimulationOptions,
} from "./simulated_host.ts";

const LATENCY_MS = 2;

/** Simulates hosts, their links and the faults that a test injects. */
export class SimulatedNetwork {
  nowMs = 0;
  readonly hosts: SimulatedHost[] = [];
  readonly random: SeededRandom;
  /** Returns whether messages from one host to the other are dropped. */
  isBlocked: (from: SimulatedHost, to: SimulatedHost) => boolean = () => false;
  dials = 0;
  readonly #tickMs: number;
  readonly #seed: number;
  readonly #events = new Map<number, (() => void)[]>();
  readonly #connections = new Map<LinkId, Connection>();
  #nextLink = 1;

  constructor(options: SimulationOptions) {
    this.#seed = options.seed;
    this.#tickMs = options.tickMs ?? 100;
    this.random = new SeededRandom(options.seed);
    for (let index = 0; index < options.hosts; index++) {
      this.addHost(`host-${index}`);
    }
  }

  /** Adds and starts a host. */
  addHost(name: string): SimulatedHost {
    const index = this.hosts.length;
    const host: SimulatedHost = {
      name,
      membership: this.#createMembership(name, index),
      isUp: true,
      pausedUntilMs: 0,
      received: new Map(),
      messages: 0,
      bytes: 0,
      superseded: false,
    };
    this.hosts.push(host);
    this.#schedule(this.random.getInteger(this.#tickMs), () => {
      this.#tick(host);
    });
    return host;
  }

  /** Ends a process without an announcement. */
  crash(host: SimulatedHost): void {
    host.isUp = false;
    this.listConnections(host).forEach((conn) => this.#close(conn, host));
  }

  /** Starts a new process for a host that is down. */
  restart(host: SimulatedHost): void {
    const index = this.hosts.indexOf(host);
    host.membership = this.#createMembership(host.name, index);
    host.received.clear();
    host.isUp = true;
    this.#schedule(0, () => this.#tick(host));
  }

  /** Resets one random connection of a host. */
  reset(host: SimulatedHost): void {
    const conn = this.random.getItem(this.listConnections(host));
    if (conn !== undefined) {
      this.#close(conn, conn.dialler);
      this.#deliver(conn.dialler, (m) => m.handleLinkClosed(conn.id));
    }
  }

  /** Returns the open connections of a host. */
  listConnections(host: SimulatedHost): readonly Connection[] {
    return [...this.#connections.values()]
      .filter((conn) => conn.dialler === host || conn.acceptor === host);
  }

  /** Advances the simulation by a duration. */
  run(byMs: number): void {
    const endMs = this.nowMs + byMs;
    for (; this.nowMs < endMs; this.nowMs++) {
      const due = this.#events.get(this.nowMs);
      this.#events.delete(this.nowMs);
      due?.forEach((event) => event());
    }
  }

  /** Runs until a condition holds or the limit is reached, and returns the elapsed time. */
  runUntil(condition: () => boolean, limitMs: number): number {
    const startMs = this.nowMs;
    while (!condition() && this.nowMs - startMs < limitMs) {
      this.run(this.#tickMs);
    }
    return this.nowMs - startMs;
  }

  /** Returns whether each running host lists exactly the running hosts. */
  isConverged(hosts: readonly SimulatedHost[] = this.hosts): boolean {
    return hasConsistentView(hosts.filter(({ isUp }) => isUp));
  }

  #createMembership(name: string, index: number): Membership {
    const [nowMs, seed] = [this.nowMs, this.#seed];
    return createMembership(name, { index, nowMs, seed });
  }

  #schedule(delayMs: number, event: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const events = this.#events.get(atMs);
    if (events === undefined) {
      this.#events.set(atMs, [event]);
    } else {
      events.push(event);
    }
  }

  #tick(host: SimulatedHost): void {
    const { membership } = host;
    const again = () => {
      if (host.isUp && host.membership === membership) {
        this.#tick(host);
      }
    };
    const pauseMs = host.pausedUntilMs - this.nowMs;
    if (pauseMs > 0) {
      this.#schedule(pauseMs, again);
      return;
    }
    this.#apply(host, membership.advance(this.nowMs));
    this.#schedule(this.#tickMs, again);
  }

  /** Delivers an event to a host after the latency and any pause of the host. */
  #deliver(
    host: SimulatedHost,
    event: (membership: Membership) => readonly MembershipCommand[],
  ): void {
    const { membership } = host;
    const pauseMs = Math.max(0, host.pausedUntilMs - this.nowMs);
    this.#schedule(LATENCY_MS + pauseMs, () => {
      if (host.isUp && host.membership === membership) {
        this.#apply(host, event(membership));
      }
    });
  }

  #apply(host: SimulatedHost, commands: readonly MembershipCommand[]): void {
    for (const command of commands) {
      if (command.kind === "dial") {
        this.#dial(host, command.address);
      } else if (command.kind === "send") {
        this.#send(host, command);
      } else if (command.kind === "close") {
        const conn = this.#connections.get(command.link);
        if (conn !== undefined) {
          this.#close(conn, host);
        }
      } else if (command.kind === "deliver") {
        const { topic, host: from, payload } = command.item;
        host.received.set(`${topic} ${from}`, payload);
      } else if (command.kind === "superseded") {
        host.superseded = true;
      }
    }
  }

  #dial(dialler: SimulatedHost, address: string): void {
    this.dials++;
    const acceptor = this.hosts[Number(address)];
    const isCut = acceptor === undefined || this.isBlocked(dialler, acceptor) ||
      this.isBlocked(acceptor, dialler);
    if (isCut || acceptor.pausedUntilMs > this.nowMs) {
      return;
    }
    if (!acceptor.isUp) {
      this.#deliver(dialler, (m) => m.handleDialFailed(address, this.nowMs));
      return;
    }
    const link = this.#nextLink++;
    const conn = { id: link, dialler, acceptor, isOpen: true };
    this.#connections.set(link, conn);
    const ends = [[dialler, acceptor, "dialled"], [
      acceptor,
      dialler,
      "accepted",
    ]] as const;
    for (const [end, peer, role] of ends) {
      const { host, incarnation } = peer.membership.getLocalMember();
      const opened = { link, host, incarnation, role };
      this.#deliver(end, (m) =>
        m.handleLinkOpened(
          role === "dialled" ? { ...opened, address } : opened,
          this.nowMs,
        ));
    }
  }

  #close(conn: Connection, by: SimulatedHost): void {
    const peer = conn.dialler === by ? conn.acceptor : conn.dialler;
    conn.isOpen = false;
    this.#connections.delete(conn.id);
    if (!this.isBlocked(by, peer)) {
      this.#deliver(peer, (m) => m.handleLinkClosed(conn.id));
    }
  }

  #send(
    host: SimulatedHost,
    command: { readonly link: LinkId; readonly message: MembershipMessage },
  ): void {
    const conn = this.#connections.get(command.link);
    host.messages++;
    host.bytes += JSON.stringify(command.message).length;
    if (conn === undefined) {
      return;
    }
    const peer = conn.dialler === host ? conn.acceptor : conn.dialler;
    if (this.isBlocked(host, peer)) {
      return;
    }
    this.#deliver(peer, (m) => {
      if (conn.dialler === host && !this.isBlocked(peer, host)) {
        this.#deliver(host, (sender) => {
          sender.handleAcknowledged(conn.id, this.nowMs);
          return [];
        });
      }
      return m.handleMessage(command, this.nowMs);
    });
  }
}
