/**
 * Takes over lots whose owner has failed, without waiting for the next pull.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import { Lot } from "@briarhill/rollout/lots/lot";
import type { LotStructure } from "@briarhill/rollout/lots/lot_structure";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { Lifecycle } from "../stops/lifecycle.ts";
import type { LotReplicas } from "./lot_replicas.ts";
import type { LotRegistry } from "./lot_registry.ts";

const PROBE_TIMEOUT_MS = 1000;

/** Options of `LotTakeover`. */
export interface LotTakeoverOptions {
  readonly peers: PeerNetwork;
  readonly replicas: LotReplicas;
  readonly registry: LotRegistry;
  readonly lifecycle: Lifecycle;
}

/**
 * Takes over lots of which this host is the first live replica host: when their
 * owner is marked failed, or when it is suspected and does not respond to this host
 * either, which is some 4 to 6 s earlier. If the old owner is still alive, the log
 * decides between the two.
 */
export class LotTakeover {
  readonly #context: NodeContext;
  readonly #options: LotTakeoverOptions;

  constructor(context: NodeContext, options: LotTakeoverOptions) {
    this.#context = context;
    this.#options = options;
    options.peers.register("lots.probe", () => Promise.resolve({}));
    options.peers.subscribe(() => void this.#takeOrphanedLots());
  }

  async #takeOrphanedLots(): Promise<void> {
    const { replicas, lifecycle, peers } = this.#options;
    const isAnyMissing = peers.getMembers()
      .some(({ state }) => state === "failed" || state === "suspect");
    if (!isAnyMissing || !lifecycle.isAccepting()) {
      return;
    }
    for (const structure of replicas.listLots()) {
      try {
        await this.#takeOrphanedLot(structure);
      } catch (error) {
        this.#context.logger.error("lot-take-failed", error);
      }
    }
  }

  async #takeOrphanedLot(structure: LotStructure): Promise<void> {
    const { replicas, registry } = this.#options;
    let { ledger, route } = await registry.routes.findRoute(structure);
    if (route.kind === "forward" && await this.#isUnreachable(route.host)) {
      ({ ledger, route } = await registry.routes.findRoute(structure));
    }
    if (route.kind === "closed" || route.kind === "expired") {
      replicas.removeLot(structure);
    } else if (
      route.kind === "take" &&
      this.#isFirstLiveReplica(ledger.getOpenRecord()?.keepers ?? [])
    ) {
      await registry.takeLot(Lot.createUnchecked(structure), route.after);
    }
  }

  #isFirstLiveReplica(keepers: readonly HostId[]): boolean {
    const { peers } = this.#options;
    const failed = peers.getMembers()
      .filter(({ state }) => state === "failed").map(({ host }) => host);
    const first = keepers.find((host) => !failed.includes(host));
    return first === peers.getLocalMember().host;
  }

  /** Returns whether a suspected owner does not respond to a probe either. */
  async #isUnreachable(host: HostId): Promise<boolean> {
    const { peers, registry } = this.#options;
    const member = peers.getMembers().find((one) => one.host === host);
    if (member?.state !== "suspect") {
      return false;
    }
    try {
      await peers.call(host, {
        procedure: "lots.probe",
        input: {},
        timeoutMs: PROBE_TIMEOUT_MS,
      });
      return false;
    } catch (error) {
      this.#context.logger.error("lot-owner-unreachable", error, {
        peer: host,
      });
      registry.routes.setUnreachable(member);
      return true;
    }
  }
}
