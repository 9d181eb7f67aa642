/**
 * Creates the components that keep streams at the software version that began them.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { IncarnationCheck } from "../endpoints/incarnation_check.ts";
import { STREAM_TOPIC } from "@briarhill/platform/names/topics";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { ShardOwnership } from "../limits/permit_owner.ts";
import type { HostContext } from "../node/host_context.ts";
import type { PublishedState } from "../node/published_state.ts";
import type { PeerList } from "../peers/peer_list.ts";
import { SoftwareVersions } from "./software_versions.ts";
import { StreamOrigins } from "./stream_origins.ts";
import { StreamRecords } from "./stream_records.ts";

/** The components that keep streams at the software version that began them. */
export interface OriginComponents {
  readonly softwareVersions: SoftwareVersions;
  readonly streamOrigins: StreamOrigins;
}

/** Options of {@link createOriginComponents}. */
export interface OriginComponentsOptions {
  readonly log: SharedLog;
  readonly peers: PeerList;
  readonly directory: EndpointDirectory;
  readonly published: PublishedState;
  readonly incarnations: IncarnationCheck;
  /** Returns whether this host owns a shard. */
  readonly getOwnership: (shard: number) => ShardOwnership;
}

/**
 * Creates the components.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const options: OriginComponentsOptions;
 *
 * const { streamOrigins } = createOriginComponents(context, options);
 * ```
 * @param context - The dependencies that all components share.
 * @param options - The shared log, the other hosts, the endpoints, and this host's shards.
 */
export function createOriginComponents(
  context: HostContext,
  options: OriginComponentsOptions,
): OriginComponents {
  const { storePartitions } = context.settings;
  const { log, peers, directory, getOwnership } = options;
  const records = new StreamRecords({
    ...context,
    log,
    countHosts: () => peers.listPeers().length + 1,
  });
  const isOwner = (key: string) =>
    getOwnership(hashText(key) % storePartitions) === "confirmed";
  const softwareVersions = new SoftwareVersions({
    ...context,
    log,
    directory,
    isOwner,
    onPruned: () => isOwner(STREAM_TOPIC) && void records.pruneStreams(),
  });
  const streamOrigins = new StreamOrigins({
    ...context,
    directory,
    incarnations: options.incarnations,
    readEndpoints: () => options.published.readEndpoints(),
    versions: softwareVersions,
    records,
  });
  return { softwareVersions, streamOrigins };
}
