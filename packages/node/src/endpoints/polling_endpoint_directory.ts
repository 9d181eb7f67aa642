/**
 * Maintains the endpoints known to this host from the platform's list, polls of
 * the endpoints and gossip of the other hosts. A leaving endpoint stays leaving
 * for its incarnation, whichever of these sources reported it.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { Engine } from "@briarhill/ports/engine/engine";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import type { Service } from "@briarhill/ports/service/service";
import { LeavingSet } from "@briarhill/routing/leaving/leaving_set";
import { PrefixIndex } from "@briarhill/routing/picking/prefix_index";
import { z } from "zod";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import { DirectoryEntry } from "./directory_entry.ts";
import { EndpointDirectory, type KnownEndpoint } from "./endpoint_directory.ts";
import { type EndpointPoll, EndpointPoller } from "./endpoint_poller.ts";
import { PolledEngines } from "./polled_engines.ts";

const LIST_INTERVAL_MS = 1000;
const MIN_POLL_INTERVAL_MS = 1000;
/** Limit on the polls of all endpoints together, to bound the load that polling puts on a host. */
const MAX_POLLS_PER_SECOND = 16;
const MAX_REPORT_LAG_MS = 5000;
const LEAVING_TOPIC = "leaving";
/** Maximum number of entries in a gossip message, the newest ones. */
const MAX_GOSSIPED_ENTRIES = 64;

const LEAVING_LIST_SCHEMA = z.array(
  z.object({ id: z.string(), incarnation: z.number() }),
).max(MAX_GOSSIPED_ENTRIES);

/** Maintains the endpoints known to this host and polls a subset of them. */
export class PollingEndpointDirectory extends EndpointDirectory {
  /** The prefixes that each engine has probably cached. */
  readonly prefixes: PrefixIndex = new PrefixIndex();
  /**
   * Returns whether operators drain an endpoint. A drain can be undone, so it is
   * not recorded as leaving.
   */
  isDrained: (listed: ListedEndpoint) => boolean = () => false;
  readonly #context: NodeContext;
  readonly #peers: PeerNetwork;
  readonly #entries = new Map<EndpointId, DirectoryEntry>();
  readonly #leaving = new LeavingSet();
  readonly #callbacks: (() => void)[] = [];
  readonly #polledEngines: PolledEngines;
  #list: readonly ListedEndpoint[] | undefined;

  constructor(context: NodeContext, peers: PeerNetwork) {
    super();
    this.#context = context;
    this.#peers = peers;
    this.#polledEngines = new PolledEngines(peers);
    peers.register(LEAVING_TOPIC, (input) => this.#handleGossip(input));
  }

  override getEndpoints(): readonly KnownEndpoint[] {
    return [...this.#entries.values()].map(({ known }) =>
      !known.leaving && this.isDrained(known.listed)
        ? { ...known, leaving: true }
        : known
    );
  }

  override getEngine(id: EndpointId): Engine | undefined {
    return this.#entries.get(id)?.getEngine(this.#context.clients);
  }

  override getService(id: EndpointId): Service | undefined {
    return this.#entries.get(id)?.getService(this.#context.clients);
  }

  override setLeaving(id: EndpointId): void {
    const incarnation = this.#entries.get(id)?.known.listed.incarnation;
    if (incarnation !== undefined) {
      this.#addLeaving([{ id, incarnation }]);
    }
  }

  override subscribe(callback: () => void): void {
    this.#callbacks.push(callback);
  }

  /**
   * Polls the platform's list and the endpoints until the signal aborts.
   *
   * @param signal - Stops the polling.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        this.#applyList(await this.#context.hostList.getEndpoints());
      } catch (error) {
        this.#context.logger.error("host-list-failed", error);
      }
      await this.#context.clock.sleep(LIST_INTERVAL_MS, signal);
    }
    this.#entries.forEach(({ poller }) => poller?.stop());
  }

  #applyList(list: readonly ListedEndpoint[]): void {
    if (list !== this.#list) {
      this.#list = list;
      this.#applyChangedList(list);
    }
    const subset = this.#polledEngines.updateList(list);
    if (subset !== undefined) {
      this.#applySubset(subset);
    }
    this.#announceChange();
  }

  #applyChangedList(list: readonly ListedEndpoint[]): void {
    list.forEach((listed) => this.#applyListed(listed));
    const ids = new Set(list.map(({ id }) => id));
    for (const [id, { poller }] of this.#entries) {
      if (!ids.has(id)) {
        poller?.stop();
        this.#entries.delete(id);
        this.prefixes.remove(id);
      }
    }
    this.#leaving.prune((id) => ids.has(id));
    const leaving = list.filter(({ state }) => state === "leaving");
    this.#addLeaving(leaving);
  }

  #applyListed(listed: ListedEndpoint): void {
    const found = this.#entries.get(listed.id);
    if (found?.known.listed.incarnation === listed.incarnation) {
      found.known = { ...found.known, listed };
      return;
    }
    found?.poller?.stop();
    this.prefixes.remove(listed.id);
    const leaving = this.#leaving.has(listed);
    this.#entries.set(listed.id, new DirectoryEntry(listed, leaving));
  }

  /** Starts and stops pollers so that the engines of the subset and all services are polled. */
  #applySubset(subset: ReadonlySet<EndpointId>): void {
    for (const entry of this.#entries.values()) {
      const { id, kind } = entry.known.listed;
      const isPolled = kind === "service" || subset.has(id);
      if (isPolled && entry.poller === undefined) {
        entry.poller = this.#startPoller(id, entry);
      } else if (!isPolled && entry.poller !== undefined) {
        entry.poller.stop();
        entry.poller = undefined;
        entry.known = { ...entry.known, load: undefined };
      }
    }
  }

  #startPoller(id: EndpointId, entry: DirectoryEntry): EndpointPoller {
    const poller = new EndpointPoller(this.#context, {
      engine: this.getEngine(id),
      service: this.getService(id),
      getIntervalMs: () => this.#getPollIntervalMs(),
      getCacheSequence: () => this.prefixes.getSequence(id),
      onPoll: (poll) => this.#applyPoll(entry, poll),
    });
    void poller.run();
    return poller;
  }

  #getPollIntervalMs(): number {
    let pollerCount = 0;
    for (const { poller } of this.#entries.values()) {
      pollerCount += poller === undefined ? 0 : 1;
    }
    return Math.max(
      MIN_POLL_INTERVAL_MS,
      pollerCount * 1000 / MAX_POLLS_PER_SECOND,
    );
  }

  #applyPoll(entry: DirectoryEntry, poll: EndpointPoll): void {
    const { listed } = entry.known;
    const { load, state, serviceLoad, cacheEvents: events } = poll;
    if (load !== undefined) {
      const loadAsOfMs = poll.requestedAtMs -
        this.#getReportLagMs(load.measuredAtMs);
      entry.known = { ...entry.known, load, loadAsOfMs };
    }
    if (state !== undefined) {
      entry.known = { ...entry.known, state };
    }
    if (events !== undefined) {
      const nowMs = this.#context.clock.getMonotonicMs();
      this.prefixes.applyEvents(listed.id, { events, nowMs });
    }
    if (load?.leaving || state?.leaving || serviceLoad?.leaving) {
      this.#addLeaving([listed]);
    }
    if (state !== undefined) {
      this.#announceChange();
    }
  }

  /**
   * Returns the age of a report when it was received. An age above the limit is
   * taken for a clock difference and ignored.
   */
  #getReportLagMs(measuredAtMs: number): number {
    const lagMs = this.#context.clock.getWallMs() - measuredAtMs;
    return lagMs > MAX_REPORT_LAG_MS ? 0 : Math.max(0, lagMs);
  }

  #handleGossip(input: unknown): Promise<unknown> {
    const parsed = LEAVING_LIST_SCHEMA.safeParse(input);
    if (parsed.success) {
      this.#addLeaving(parsed.data);
    }
    return Promise.resolve(undefined);
  }

  #addLeaving(
    endpoints: readonly { readonly id: EndpointId; incarnation: number }[],
  ): void {
    const added = endpoints.filter(({ id, incarnation }) =>
      this.#leaving.add({ id, incarnation })
    );
    if (added.length === 0) {
      return;
    }
    for (const { id } of added) {
      const entry = this.#entries.get(id);
      if (entry !== undefined && this.#leaving.has(entry.known.listed)) {
        entry.known = { ...entry.known, leaving: true };
        this.#context.logger.info("endpoint-leaving", { endpoint: id });
      }
    }
    this.#peers.publish(
      LEAVING_TOPIC,
      this.#leaving.list().slice(-MAX_GOSSIPED_ENTRIES),
    );
    this.#announceChange();
  }

  #announceChange(): void {
    this.#callbacks.forEach((callback) => callback());
  }
}
