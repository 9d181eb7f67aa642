/**
 * Replicates the prompts of lots to other hosts, so that a lot survives the failure
 * of its owner.
 * @module
 */
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";
import type { LotStructure } from "@briarhill/rollout/lots/lot_structure";
import { parseMessage, parseReply } from "../peers/peer_message.ts";
import type { Member, PeerNetwork } from "../peers/peer_network.ts";
import type { NodeContext } from "../node/node_context.ts";
import { getLotKey, type LotName } from "./lot_name.ts";
import { listLotParts, type LotPart, LotParts } from "./lot_parts.ts";
import {
  LOT_MESSAGE,
  LOT_NAME_MESSAGE,
  LOT_PART_MESSAGE,
} from "./lot_schema.ts";

const REPLICA_COUNT = 2;
const CALL_TIMEOUT_MS = 5000;
/** Hosts that are asked when none of the recorded replica hosts has a copy. */
const MAX_OTHER_HOSTS = 16;
const MAX_LOTS = 256;

/** Replicas of lots, held here and sent to other hosts. */
export class LotReplicas {
  readonly #context: NodeContext;
  readonly #peers: PeerNetwork;
  readonly #parts = new LotParts();
  readonly #lots = new Map<string, LotStructure>();
  /** The incarnations of the hosts that were sent a copy, by lot. */
  readonly #recipients = new Map<
    string,
    Map<HostId, Incarnation | undefined>
  >();

  constructor(context: NodeContext, peers: PeerNetwork) {
    this.#context = context;
    this.#peers = peers;
    peers.register("lots.keep", (input) => {
      const part = parseMessage(input, LOT_PART_MESSAGE) as LotPart;
      const structure = this.#parts.addPart(part);
      if (structure !== undefined) {
        this.addLot(structure);
      }
      return Promise.resolve({});
    });
    peers.register("lots.copy", (input) => {
      const lot = this.getLot(parseMessage(input, LOT_NAME_MESSAGE));
      return Promise.resolve(lot ?? null);
    });
  }

  /**
   * Stores a copy of a lot on this host; evicts the oldest beyond `MAX_LOTS`.
   *
   * @param structure - The lot.
   */
  addLot(structure: LotStructure): void {
    this.#lots.set(getLotKey(structure), structure);
    const oldest = this.#lots.keys().next();
    if (this.#lots.size > MAX_LOTS && !oldest.done) {
      this.#lots.delete(oldest.value);
      this.#recipients.delete(oldest.value);
    }
  }

  /**
   * Returns the copy of a lot that this host holds.
   *
   * @param name - The lot.
   */
  getLot(name: LotName): LotStructure | undefined {
    return this.#lots.get(getLotKey(name));
  }

  /** Lists the lots of which this host holds a copy. */
  listLots(): readonly LotStructure[] {
    return [...this.#lots.values()];
  }

  /**
   * Removes the local copy of a lot that has ended.
   *
   * @param name - The lot.
   */
  removeLot(name: LotName): void {
    this.#lots.delete(getLotKey(name));
    this.#recipients.delete(getLotKey(name));
  }

  /**
   * Sends a lot to further hosts, other failure domains first, while too few live
   * hosts hold a copy. Returns the hosts that hold one now.
   *
   * @param structure - The lot.
   */
  async sendLot(structure: LotStructure): Promise<readonly HostId[]> {
    this.addLot(structure);
    const holders = this.#listHolders(structure);
    if (holders.length >= REPLICA_COUNT) {
      return holders;
    }
    for (const { host } of this.#listCandidates()) {
      if (holders.length >= REPLICA_COUNT) {
        break;
      }
      if (!holders.includes(host) && await this.#sendCopy(host, structure)) {
        holders.push(host);
      }
    }
    return holders;
  }

  /**
   * Sends a copy of a lot to a host in parts that fit into messages.
   *
   * @param host - The host.
   * @param structure - The lot.
   */
  async sendLotTo(host: HostId, structure: LotStructure): Promise<void> {
    for (const part of listLotParts(structure)) {
      await this.#peers.call(host, {
        procedure: "lots.keep",
        input: part,
        timeoutMs: CALL_TIMEOUT_MS,
      });
    }
    const member = this.#peers.getMembers().find((one) => one.host === host);
    const sent = this.#recipients.get(getLotKey(structure)) ?? new Map();
    this.#recipients.set(getLotKey(structure), sent);
    sent.set(host, member?.incarnation);
  }

  /**
   * Returns a copy of a lot from this host or else from another one.
   *
   * @param name - The lot.
   * @param hosts - The recorded replica hosts, which are asked before others.
   */
  async fetchLot(
    name: LotName,
    hosts: readonly HostId[],
  ): Promise<LotStructure | undefined> {
    const local = this.getLot(name);
    if (local !== undefined) {
      return local;
    }
    for (const host of this.#listSources(hosts)) {
      try {
        const copy = await this.#peers.call(host, {
          procedure: "lots.copy",
          input: { customer: name.customer, id: name.id },
          timeoutMs: CALL_TIMEOUT_MS,
        });
        if (copy !== null) {
          return toStructure(parseReply(copy, {
            schema: LOT_MESSAGE,
            operation: "lots.copy",
          }));
        }
      } catch (error) {
        this.#context.logger.error("lot-copy-failed", error, { peer: host });
      }
    }
    return undefined;
  }

  async #sendCopy(host: HostId, structure: LotStructure): Promise<boolean> {
    try {
      await this.sendLotTo(host, structure);
      return true;
    } catch (error) {
      this.#context.logger.error("lot-copy-failed", error, { peer: host });
      return false;
    }
  }

  /** Lists the live hosts with a copy; a restarted host has lost its copy. */
  #listHolders(name: LotName): HostId[] {
    const sent = this.#recipients.get(getLotKey(name));
    return this.#peers.getMembers()
      .filter(({ host, incarnation, state }) =>
        (state === "alive" || state === "suspect") &&
        sent?.get(host) === incarnation
      )
      .map(({ host }) => host);
  }

  #listSources(hosts: readonly HostId[]): readonly HostId[] {
    const others = this.#listCandidates().map(({ host }) => host)
      .filter((host) => !hosts.includes(host));
    const first = hosts.filter((host) =>
      host !== this.#peers.getLocalMember().host
    );
    return [...first, ...others.slice(0, MAX_OTHER_HOSTS)];
  }

  /** Lists live hosts in random order, other failure domains first. */
  #listCandidates(): readonly Member[] {
    const localMember = this.#peers.getLocalMember();
    return this.#peers.getMembers()
      .filter((one) => one.host !== localMember.host && one.state === "alive")
      .map((member) => ({
        member,
        isSameDomain: member.failureDomain === localMember.failureDomain
          ? 1
          : 0,
        randomRank: this.#context.random.getFloat(),
      }))
      .sort((a, b) =>
        a.isSameDomain - b.isSameDomain || a.randomRank - b.randomRank
      )
      .map(({ member }) => member);
  }
}

function toStructure(
  message: ReturnType<typeof LOT_MESSAGE.parse>,
): LotStructure {
  return JSON.parse(JSON.stringify(message));
}
