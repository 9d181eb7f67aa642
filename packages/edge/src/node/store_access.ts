/**
 * Creates the components through which a host accesses the shared log.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import { StoreLog } from "@briarhill/platform/store/store_log";
import { PeerList } from "../peers/peer_list.ts";
import { PeerListener } from "../peers/peer_listener.ts";
import { RelayedTransport } from "../peers/relayed_transport.ts";

import type { HostContext } from "./host_context.ts";

/** The components that access the shared log and relay other hosts' calls to the store. */
export interface StoreAccess {
  readonly log: SharedLog;
  readonly peers: PeerList;
  readonly listener: PeerListener;
  readonly transport: RelayedTransport;
}

/**
 * Creates the components that access the shared log.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 *
 * const { log } = createStoreAccess(context);
 * ```
 * @param context - The dependencies that all components share.
 */
export function createStoreAccess(context: HostContext): StoreAccess {
  const { settings } = context;
  const transport: RelayedTransport = new RelayedTransport({
    ...context,
    store: settings.store,
    listPeers: () => peers.listPeers(),
  });
  const log = new StoreLog(transport);
  const peers: PeerList = new PeerList({ ...context, log });
  const listener = new PeerListener(transport, context);
  return { log, peers, listener, transport };
}
