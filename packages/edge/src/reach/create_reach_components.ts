/**
 * Creates the components that watch which services a host reaches.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { HostContext } from "../node/host_context.ts";
import { ReachMonitor } from "./reach_monitor.ts";
import { ReachQuery } from "./reach_query.ts";
import { SharedReach } from "./shared_reach.ts";

/** The age up to which what other hosts say of themselves is trusted, in milliseconds: above the wait of one read. */
const MAX_RECORD_AGE_MS = 1_500;

/** The components that watch which services a host reaches. */
export interface ReachComponents {
  readonly reach: ReachMonitor;
  readonly sharedReach: SharedReach;
  readonly reachQuery: ReachQuery;
}

/**
 * Creates the components.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const log: SharedLog;
 * declare const directory: EndpointDirectory;
 *
 * const { reach } = createReachComponents(context, {
 *   log,
 *   directory,
 *   getTable: () => undefined,
 * });
 * ```
 * @param context - The dependencies that all components share.
 * @param options - The shared log, the endpoints, and the route table in force.
 */
export function createReachComponents(
  context: HostContext,
  options: {
    readonly log: SharedLog;
    readonly directory: EndpointDirectory;
    readonly getTable: () => RouteTable | undefined;
  },
): ReachComponents {
  const { ip, failureDomain } = context.settings;
  const { log, directory, getTable } = options;
  const reach: ReachMonitor = new ReachMonitor({
    ...context,
    directory,
    local: { host: ip, failureDomain },
    isCurrent: () => sharedReach.getAgeMs() <= MAX_RECORD_AGE_MS,
    getHealthPath: (service) =>
      getTable()?.getService(service)?.healthPath ?? "/",
    fetchReach: (service, hosts) => reachQuery.fetchReach(service, hosts),
    onChange: (record) => sharedReach.publishReach(record),
  });
  const sharedReach: SharedReach = new SharedReach({
    ...context,
    log,
    host: ip,
    onReach: (record) => reach.applyReach(record),
    onRemoved: (host) => reach.paths.removeHost(host),
  });
  const reachQuery = new ReachQuery({
    ...context,
    peerPort: context.settings.peers.port,
    isReached: (service) => reach.isReached(service),
  });
  return { reach, sharedReach, reachQuery };
}
