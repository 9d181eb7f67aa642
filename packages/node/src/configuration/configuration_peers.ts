/**
 * Exchanges configuration with peers: each host announces the offset that it
 * has applied, and a host that is behind fetches the records it is missing.
 * @module
 */
import {
  buildFetchResponse,
  CONFIGURATION_DIGEST,
  CONFIGURATION_TOPIC,
  FETCH_PROCEDURE,
  FETCH_REQUEST,
  FETCH_RESPONSE,
} from "@briarhill/control/configuration/configuration_exchange";
import type { HostId } from "@briarhill/common/ids/ids";
import type { NodeContext } from "../node/node_context.ts";
import { parseMessage, parseReply } from "../peers/peer_message.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { ConfigurationStore } from "./configuration_store.ts";

const FETCH_TIMEOUT_MS = 1_500;
/** A host that is behind usually reads the missing records from the log within this delay. */
const FETCH_DELAY_MS = 300;
const ANNOUNCE_INTERVAL_MS = 2_000;
/** The number of peers that a starting host fetches from concurrently. */
const STARTUP_FETCH_PEERS = 3;

/** Announces the applied offset to peers and fetches missing configuration from them. */
export class ConfigurationPeers {
  readonly #context: NodeContext;
  readonly #peers: PeerNetwork;
  readonly #store: ConfigurationStore;
  #fetching = false;
  #highestPeerOffset: number | undefined;

  constructor(
    context: NodeContext,
    parts: { readonly peers: PeerNetwork; readonly store: ConfigurationStore },
  ) {
    this.#context = context;
    this.#peers = parts.peers;
    this.#store = parts.store;
    this.#register();
  }

  /** Returns the highest offset that a peer has reported, if any has. */
  getHighestPeerOffset(): number | undefined {
    return this.#highestPeerOffset;
  }

  /** Returns the number of peers that are alive. */
  countPeers(): number {
    return this.#listAlivePeers().length;
  }

  /**
   * Announces this host's offset until the signal aborts.
   *
   * @param signal - Stops the announcements.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#announce();
      await this.#context.clock.sleep(ANNOUNCE_INTERVAL_MS, signal);
    }
  }

  /** Fetches missing configuration from a few random peers; the response with the highest offset wins. */
  async fetchFromRandomPeers(): Promise<void> {
    const candidates = [...this.#listAlivePeers()];
    const selected: HostId[] = [];
    while (selected.length < STARTUP_FETCH_PEERS && candidates.length > 0) {
      const index = this.#context.random.getInteger(candidates.length);
      selected.push(...candidates.splice(index, 1));
    }
    await Promise.all(selected.map((host) => this.#fetch(host)));
  }

  #register(): void {
    this.#peers.register(FETCH_PROCEDURE, (input) => {
      const { after } = parseMessage(input, FETCH_REQUEST);
      return Promise.resolve(
        buildFetchResponse(this.#store.getAppliedConfiguration(), after),
      );
    });
    this.#peers.register(CONFIGURATION_TOPIC, (input, from) => {
      const { offset } = parseMessage(input, CONFIGURATION_DIGEST);
      this.#handleDigest(offset, from);
      return Promise.resolve({});
    });
    this.#store.subscribe(() => this.#announce());
  }

  #announce(): void {
    const { offset } = this.#store.getAppliedConfiguration().state;
    this.#peers.publish(CONFIGURATION_TOPIC, { offset });
  }

  #handleDigest(offset: number, from: HostId): void {
    this.#highestPeerOffset = Math.max(this.#highestPeerOffset ?? -1, offset);
    if (this.#fetching || !this.#isBehind(offset)) {
      return;
    }
    this.#fetching = true;
    this.#context.clock.setTimer(FETCH_DELAY_MS, () => {
      void this.#fetchIfBehind(offset, from);
    });
  }

  async #fetchIfBehind(offset: number, from: HostId): Promise<void> {
    if (this.#isBehind(offset)) {
      await this.#fetch(from);
    }
    this.#fetching = false;
  }

  async #fetch(host: HostId): Promise<void> {
    try {
      const { offset: after } = this.#store.getAppliedConfiguration().state;
      const reply = await this.#peers.call(host, {
        procedure: FETCH_PROCEDURE,
        input: { after },
        timeoutMs: FETCH_TIMEOUT_MS,
      });
      const answer = parseReply(reply, {
        schema: FETCH_RESPONSE,
        operation: FETCH_PROCEDURE,
      });
      this.#highestPeerOffset = Math.max(
        this.#highestPeerOffset ?? -1,
        answer.offset,
      );
      this.#store.handleFetchAnswer(answer);
    } catch (error) {
      this.#context.logger.error("configuration-fetch-failed", error, {
        peer: host,
      });
    }
  }

  #isBehind(offset: number): boolean {
    return offset > this.#store.getAppliedConfiguration().state.offset;
  }

  #listAlivePeers(): readonly HostId[] {
    const localHost = this.#peers.getLocalMember().host;
    return this.#peers.getMembers()
      .filter(({ host, state }) => host !== localHost && state === "alive")
      .map(({ host }) => host);
  }
}
