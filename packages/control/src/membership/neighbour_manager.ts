/**
 * Maintains the links to the neighbours of the local host. It also probes lost
 * hosts and seeds at a low rate, so that the sides of a network partition find
 * each other again.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { DialRegistry } from "./dial_registry.ts";
import type { LinkRegistry } from "./link_registry.ts";
import type { MemberRecord } from "./member_record.ts";
import type { MemberTable } from "./member_table.ts";
import type { MembershipCommand } from "./membership_message.ts";
import type { MembershipOptions } from "./membership_options.ts";
import { type Neighbours, pickNeighbours } from "./neighbours.ts";

/** The options and the state that a `NeighbourManager` reads and changes. */
export interface NeighbourManagerContext {
  readonly self: MemberRecord;
  readonly seeds: readonly string[];
  readonly options: MembershipOptions;
  readonly random: SeededRandom;
  readonly table: MemberTable;
  readonly links: LinkRegistry;
  readonly dials: DialRegistry;
}

const REFRESH_INTERVAL_MS = 1_000;
const ISOLATED_PROBE_INTERVAL_MS = 1_000;

/** Dials neighbours, probes lost hosts and closes links that are no longer needed. */
export class NeighbourManager {
  readonly #context: NeighbourManagerContext;
  #neighbours: Neighbours = { dialled: new Set(), accepted: new Set() };
  #version = -1;
  #refreshedMs = -Infinity;
  #nextProbeMs: number;
  readonly #missingSinceMs = new Map<HostId, number>();

  constructor(context: NeighbourManagerContext, nowMs: number) {
    this.#context = context;
    this.#nextProbeMs = nowMs;
  }

  /**
   * Returns the commands that open and close links as of now.
   *
   * @param nowMs - The current monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly MembershipCommand[] {
    this.#updateNeighbours(nowMs);
    return [
      ...this.#dialNeighbours(nowMs),
      ...this.#probe(nowMs),
      ...this.#closeUnwanted(nowMs),
    ];
  }

  /**
   * Picks the neighbours. Hosts that only this host cannot reach are excluded
   * while their redial backoff lasts.
   */
  #updateNeighbours(nowMs: number): void {
    const { table, dials, options, self } = this.#context;
    if (
      table.version === this.#version &&
      nowMs - this.#refreshedMs < REFRESH_INTERVAL_MS
    ) {
      return;
    }
    this.#version = table.version;
    this.#refreshedMs = nowMs;
    const hosts = table.listRunning()
      .filter(({ address }) =>
        dials.countFailures(address) <= options.dialsBeforeSuspicion ||
        !dials.isBackingOff(address, nowMs)
      )
      .map(({ host }) => host);
    const { rings } = options;
    this.#neighbours = pickNeighbours(self.host, { hosts, rings });
    const { dialled, accepted } = this.#neighbours;
    for (const host of this.#missingSinceMs.keys()) {
      if (!dialled.has(host) && !accepted.has(host)) {
        this.#missingSinceMs.delete(host);
      }
    }
  }

  #dialNeighbours(nowMs: number): readonly MembershipCommand[] {
    const commands: MembershipCommand[] = [];
    const { dialled, accepted } = this.#neighbours;
    for (const host of [...dialled, ...accepted]) {
      if (this.#context.links.getLinkTo(host) !== undefined) {
        this.#missingSinceMs.delete(host);
        continue;
      }
      const missingSinceMs = this.#missingSinceMs.get(host) ?? nowMs;
      this.#missingSinceMs.set(host, missingSinceMs);
      const graceMs = this.#context.options.receiveTimeoutMs / 2;
      if (dialled.has(host) || nowMs - missingSinceMs >= graceMs) {
        const address = this.#context.table.getRecord(host)?.address;
        commands.push(...this.#dial(address, host, nowMs));
      }
    }
    return commands;
  }

  #dial(
    address: string | undefined,
    host: HostId | undefined,
    nowMs: number,
  ): readonly MembershipCommand[] {
    const { dials, self } = this.#context;
    if (
      address === undefined || address === self.address ||
      !dials.canDial(address, nowMs)
    ) {
      return [];
    }
    dials.addDial({ address, host, startedMs: nowMs });
    return [{ kind: "dial", address }];
  }

  #probe(nowMs: number): readonly MembershipCommand[] {
    if (nowMs < this.#nextProbeMs) {
      return [];
    }
    const { options, random, links, table, seeds } = this.#context;
    const isIsolated = links.listLinks().length === 0;
    const meanMs = isIsolated
      ? ISOLATED_PROBE_INTERVAL_MS
      : options.probeIntervalMs;
    this.#nextProbeMs = nowMs + meanMs * (0.5 + random.getFloat());
    const running = new Set(table.listRunning().map(({ address }) => address));
    const lost = table.listLost().map(({ address }) => address);
    const candidates = [...lost, ...seeds]
      .filter((address) => isIsolated || !running.has(address));
    return this.#dial(random.getItem(candidates), undefined, nowMs);
  }

  #closeUnwanted(nowMs: number): readonly MembershipCommand[] {
    const commands: MembershipCommand[] = [];
    const { dialled, accepted } = this.#neighbours;
    for (const link of this.#context.links.listLinks()) {
      const { host, role } = link.opened;
      if (dialled.has(host) || accepted.has(host)) {
        link.unwantedSinceMs = undefined;
        continue;
      }
      link.unwantedSinceMs ??= nowMs;
      const idleMs = nowMs - link.unwantedSinceMs;
      if (
        role === "dialled" &&
        idleMs >= this.#context.options.unwantedLinkTimeoutMs
      ) {
        this.#context.links.removeLink(link.opened.link);
        commands.push({ kind: "close", link: link.opened.link });
      }
    }
    return commands;
  }
}
