/**
 * Creates the components that keep the limits of endpoints over all hosts.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { HostContext } from "../node/host_context.ts";
import type { PeerList } from "../peers/peer_list.ts";
import { EndpointAdmission } from "./endpoint_admission.ts";
import { ObservedLimits } from "./observed_limits.ts";
import { PermitClient } from "./permit_client.ts";
import { PermitOwner, type ShardOwnership } from "./permit_owner.ts";
import { SharedLimits } from "./shared_limits.ts";

/** The components that keep the limits of endpoints. */
export interface LimitComponents {
  readonly limits: ObservedLimits;
  readonly admission: EndpointAdmission;
  readonly permitOwner: PermitOwner;
  readonly permits: PermitClient;
  readonly sharedLimits: SharedLimits;
}

/** Options of {@link createLimitComponents}. */
export interface LimitComponentsOptions {
  readonly log: SharedLog;
  readonly peers: PeerList;
  readonly directory: EndpointDirectory;
  /** Returns whether this host owns a shard. */
  readonly getOwnership: (shard: number) => ShardOwnership;
}

/**
 * Creates the components that keep the limits of endpoints.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const options: LimitComponentsOptions;
 *
 * const { admission } = createLimitComponents(context, options);
 * ```
 * @param context - The dependencies that all components share.
 * @param options - The shared log, the other hosts, the endpoints and this host's shards.
 */
export function createLimitComponents(
  context: HostContext,
  options: LimitComponentsOptions,
): LimitComponents {
  const { failureDomain, storePartitions } = context.settings;
  const { log, peers, directory, getOwnership } = options;
  const getShard = (service: string) => hashText(service) % storePartitions;
  const limits: ObservedLimits = new ObservedLimits({
    ...context,
    onChange: ({ service }, limit) =>
      void permits.reportToOwner({ service, limits: [limit] }),
  });
  const sharedLimits = new SharedLimits({ ...context, log, limits });
  const permitOwner = new PermitOwner({
    ...context,
    getOwnership: (service) => getOwnership(getShard(service)),
    onLimitChanged: (service, limit) =>
      sharedLimits.publishLimit(service, limit),
  });
  const permits: PermitClient = new PermitClient({
    ...context,
    peers,
    owner: permitOwner,
    getShard,
  });
  const admission = new EndpointAdmission({
    ...context,
    directory,
    limits,
    permits,
    failureDomain,
  });
  return { limits, admission, permitOwner, permits, sharedLimits };
}
