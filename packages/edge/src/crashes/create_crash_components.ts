/**
 * Creates the components that restrict requests that endpoints have ended under.
 * @module
 */
import { hashText } from "@briarhill/common/hashing/rendezvous";
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { ShardOwnership } from "../limits/permit_owner.ts";
import type { HostContext } from "../node/host_context.ts";
import type { ReachMonitor } from "../reach/reach_monitor.ts";
import { CrashGuard } from "./crash_guard.ts";
import { SharedCrashes } from "./shared_crashes.ts";

/** The components that restrict requests that endpoints have ended under. */
export interface CrashComponents {
  readonly crashGuard: CrashGuard;
  readonly sharedCrashes: SharedCrashes;
}

/**
 * Creates the components.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const log: SharedLog;
 * declare const directory: EndpointDirectory;
 * declare const reach: ReachMonitor;
 *
 * const { crashGuard } = createCrashComponents(context, {
 *   log,
 *   directory,
 *   reach,
 *   getOwnership: () => "none",
 * });
 * ```
 * @param context - The dependencies that all components share.
 * @param options - The shared log, the endpoints, and whether this host owns a shard.
 */
export function createCrashComponents(
  context: HostContext,
  options: {
    readonly log: SharedLog;
    readonly directory: EndpointDirectory;
    readonly reach: ReachMonitor;
    readonly getOwnership: (shard: number) => ShardOwnership;
  },
): CrashComponents {
  const { storePartitions } = context.settings;
  const crashGuard: CrashGuard = new CrashGuard({
    ...context,
    reach: options.reach,
    getEndpoint: (id) => options.directory.getEndpoint(id),
    onFound: (record) => sharedCrashes.publishCrash(record),
    onCleared: (records) => sharedCrashes.removeCrashes(records),
  });
  const sharedCrashes = new SharedCrashes({
    ...context,
    log: options.log,
    history: crashGuard.history,
    isOwner: (service) =>
      options.getOwnership(hashText(service) % storePartitions) === "confirmed",
  });
  return { crashGuard, sharedCrashes };
}
