/**
 * Computes the subset of engines that this host polls.
 * @module
 */
import type { EndpointId, HostId } from "@briarhill/common/ids/ids";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import { listSubset } from "@briarhill/routing/picking/engine_subset";
import type { PeerNetwork } from "../peers/peer_network.ts";

/** Computes the engines that this host polls, again only after a change of the list or the hosts. */
export class PolledEngines {
  readonly #peers: PeerNetwork;
  #list: readonly ListedEndpoint[] | undefined;
  #hostsKey = "";

  constructor(peers: PeerNetwork) {
    this.#peers = peers;
  }

  /**
   * Returns the engines to poll, or undefined if neither the list nor the hosts
   * have changed since the last call.
   *
   * @param list - The platform's list; the same array as long as it is unchanged.
   */
  updateList(
    list: readonly ListedEndpoint[],
  ): ReadonlySet<EndpointId> | undefined {
    const hosts = this.#listHosts();
    const hostsKey = hosts.join(" ");
    if (list === this.#list && hostsKey === this.#hostsKey) {
      return undefined;
    }
    this.#list = list;
    this.#hostsKey = hostsKey;
    return new Set(listSubset({
      self: this.#peers.getLocalMember().host,
      hosts,
      engines: list.filter(({ kind }) => kind === "engine")
        .map(({ id }) => id),
    }));
  }

  #listHosts(): readonly HostId[] {
    return this.#peers.getMembers()
      .filter(({ state }) => state !== "failed")
      .map(({ host }) => host);
  }
}
