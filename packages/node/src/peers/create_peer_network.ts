/**
 * Creates the peer network from a node's settings.
 * @module
 */
import { DEFAULT_MEMBERSHIP_OPTIONS } from "@briarhill/control/membership/membership_options";
import type { NodeContext } from "../node/node_context.ts";
import type { NodeLifecycle } from "../stops/node_lifecycle.ts";
import { TrpcPeerNetwork } from "./trpc_peer_network.ts";

/**
 * Creates the peer network of a node; it is started separately.
 *
 * @example
 * ```ts
 * const peers = createPeerNetwork(context, lifecycle);
 * await peers.start();
 * ```
 * @param context - The settings and services that all parts of the node share.
 * @param lifecycle - Marked as superseded when a later process of this host joins.
 */
export function createPeerNetwork(
  context: NodeContext,
  lifecycle: NodeLifecycle,
): TrpcPeerNetwork {
  const { settings } = context;
  return new TrpcPeerNetwork({
    ...context,
    host: settings.host,
    failureDomain: settings.failureDomain,
    region: settings.region,
    listen: settings.peers,
    seeds: settings.seeds,
    keys: settings.peerKeys,
    options: DEFAULT_MEMBERSHIP_OPTIONS,
    onSuperseded: () => lifecycle.setSuperseded(),
  });
}
