/**
 * Creates the components that watch which services a host reaches.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { HostContext } from "../node/host_context.ts";
import { ReachMonitor } from "./reach_monitor.ts";
import { SharedReach } from "./shared_reach.ts";

/** The components that watch which services a host reaches. */
export interface ReachComponents {
  readonly reach: ReachMonitor;
  readonly sharedReach: SharedReach;
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
    getHealthPath: (service) =>
      getTable()?.getService(service)?.healthPath ?? "/",
    onChange: (record) => sharedReach.publishReach(record),
  });
  const sharedReach = new SharedReach({
    ...context,
    log,
    host: ip,
    onReach: (record) => reach.applyReach(record),
    onRemoved: (host) => reach.paths.removeHost(host),
  });
  return { reach, sharedReach };
}
