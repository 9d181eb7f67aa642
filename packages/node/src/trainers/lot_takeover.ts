/**
 * Takes over lots whose owner has died.
 * @module
 */
import type { HostId } from "@briarhill/common/ids/ids";
import { Lot } from "@briarhill/rollout/lots/lot";
import type { LotStructure } from "@briarhill/rollout/lots/lot_structure";
import type { NodeContext } from "../node/node_context.ts";
import type { PeerNetwork } from "../peers/peer_network.ts";
import type { Lifecycle } from "../stops/lifecycle.ts";
import type { LotKeepers } from "./lot_keepers.ts";
import type { LotRegistry } from "./lot_registry.ts";

const PROBE_TIMEOUT_MS = 1000;

/** What a takeover works with. */
export interface LotTakeoverOptions {
  readonly peers: PeerNetwork;
  readonly keepers: LotKeepers;
  readonly registry: LotRegistry;
  readonly lifecycle: Lifecycle;
}

/**
 * Takes over lots of which this host is the first living keeper: when their
 * owner is held for failed, or when it is suspected and does not answer this
 * host either, which is some 4 to 6 s earlier. The log decides between the two
 * owners if the old one lives after all.
 */
export class LotTakeover {
  readonly #context: NodeContext;
  readonly #options: LotTakeoverOptions;

  constructor(context: NodeContext, options: LotTakeoverOptions) {
    this.#context = context;
    this.#options = options;
    options.peers.register("lots.probe", () => Promise.resolve({}));
    options.peers.subscribe(() => void this.#takeOrphans());
  }

  async #takeOrphans(): Promise<void> {
    const { keepers, lifecycle, peers } = this.#options;
    const isAnyMissing = peers.getMembers()
      .some(({ state }) => state === "failed" || state === "suspect");
    if (!isAnyMissing || !lifecycle.isAccepting()) {
      return;
    }
    for (const structure of keepers.listLots()) {
      try {
        await this.#takeOrphan(structure);
      } catch (error) {
        this.#context.logger.error("lot-take-failed", error);
      }
    }
  }

  async #takeOrphan(structure: LotStructure): Promise<void> {
    const { keepers, registry } = this.#options;
    let { ledger, route } = await registry.routes.findRoute(structure);
    if (route.kind === "forward" && await this.#isSilent(route.host)) {
      ({ ledger, route } = await registry.routes.findRoute(structure));
    }
    if (route.kind === "closed" || route.kind === "expired") {
      keepers.removeLot(structure);
    } else if (
      route.kind === "take" && this.#isFirst(ledger.getOpened()?.keepers ?? [])
    ) {
      await registry.takeLot(Lot.createUnchecked(structure), route.after);
    }
  }

  #isFirst(keepers: readonly HostId[]): boolean {
    const { peers } = this.#options;
    const failed = peers.getMembers()
      .filter(({ state }) => state === "failed").map(({ host }) => host);
    const first = keepers.find((host) => !failed.includes(host));
    return first === peers.getSelf().host;
  }

  /** Whether a suspected owner does not answer this host either. */
  async #isSilent(host: HostId): Promise<boolean> {
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
      registry.routes.setSilent(member);
      return true;
    }
  }
}
