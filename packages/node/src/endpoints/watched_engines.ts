/**
 * The engines that this host watches, worked out again only after a change.
 * @module
 */
import type { EndpointId, HostId } from "@briarhill/common/ids/ids";
import type { ListedEndpoint } from "@briarhill/ports/hosts/host_list";
import { listSubset } from "@briarhill/routing/picking/engine_subset";
import type { PeerNetwork } from "../peers/peer_network.ts";

/** The engines that this host watches. */
export class WatchedEngines {
  readonly #peers: PeerNetwork;
  #list: readonly ListedEndpoint[] | undefined;
  #hosts = "";

  constructor(peers: PeerNetwork) {
    this.#peers = peers;
  }

  /**
   * Returns the engines to watch, or undefined while neither the list nor the
   * hosts have changed.
   *
   * @param list - The platform's list; the same array while it is unchanged.
   */
  updateList(
    list: readonly ListedEndpoint[],
  ): ReadonlySet<EndpointId> | undefined {
    const hosts = this.#listHosts();
    const names = hosts.join(" ");
    if (list === this.#list && names === this.#hosts) {
      return undefined;
    }
    this.#list = list;
    this.#hosts = names;
    return new Set(listSubset({
      self: this.#peers.getSelf().host,
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
