/**
 * Decides which host serves the pulls of a lot.
 * @module
 */
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";
import { DeliveryLedger } from "@briarhill/rollout/delivery/delivery_ledger";
import {
  decidePullRoute,
  type OwnerObservation,
  type PullRoute,
} from "@briarhill/rollout/delivery/pull_route";
import type { Member, PeerNetwork } from "../peers/peer_network.ts";
import type { LotLog } from "./lot_log.ts";
import { getLotKey, type LotName } from "./lot_name.ts";

/** Reads the delivery ledgers of lots and routes their pulls to the owners. */
export class LotRoutes {
  readonly #log: LotLog;
  readonly #peers: PeerNetwork;
  readonly #ledgers = new Map<string, DeliveryLedger>();
  /** Suspected hosts that did not respond to a probe of this host. */
  readonly #unreachable = new Map<HostId, Incarnation>();

  constructor(log: LotLog, peers: PeerNetwork) {
    this.#log = log;
    this.#peers = peers;
  }

  /**
   * Reads a lot's stream to its end and decides which host serves its pulls.
   *
   * @param name - The lot.
   */
  async findRoute(
    name: LotName,
  ): Promise<{ readonly ledger: DeliveryLedger; readonly route: PullRoute }> {
    const key = getLotKey(name);
    const ledger = this.#ledgers.get(key) ?? new DeliveryLedger();
    ledger.applyPage(await this.#log.readPage(name, ledger.getNextOffset()));
    if (
      ledger.getCloseReason() === undefined &&
      ledger.getOpenRecord() !== undefined
    ) {
      this.#ledgers.set(key, ledger);
    } else {
      this.#ledgers.delete(key);
    }
    const { host, incarnation } = this.#peers.getLocalMember();
    const owner = ledger.getOwner()?.host;
    const observation = this.#getOwnerObservation(owner);
    const self = { host, incarnation };
    return {
      ledger,
      route: decidePullRoute(ledger, { self, observation }),
    };
  }

  /**
   * Treats a suspected host as failed while it stays suspected.
   *
   * @param member - The suspected host and its incarnation.
   */
  setUnreachable(member: Member): void {
    this.#unreachable.set(member.host, member.incarnation);
  }

  #getOwnerObservation(host: HostId | undefined): OwnerObservation | undefined {
    const member = this.#peers.getMembers()
      .find((one) => one.host === host);
    if (member?.state !== "suspect") {
      this.#unreachable.delete(host ?? "");
      return member;
    }
    const isUnreachable =
      this.#unreachable.get(member.host) === member.incarnation;
    return isUnreachable ? { ...member, state: "failed" } : member;
  }
}
