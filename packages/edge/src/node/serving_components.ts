/**
 * Creates the components of a host that send requests to endpoints.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import { CallForwarder } from "../calls/call_forwarder.ts";
import { EndpointSender } from "../calls/endpoint_sender.ts";
import { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import { ObservedLimits } from "../limits/observed_limits.ts";
import type { HostContext } from "./host_context.ts";
import { PublishedState } from "./published_state.ts";

/** A response may take at most the host's memory divided by this, so that a few endless responses can't exhaust it. */
const ANSWER_MEMORY_DIVISOR = 64;

/** The components of a host that send requests to endpoints. */
export interface ServingComponents {
  readonly directory: EndpointDirectory;
  readonly limits: ObservedLimits;
  readonly published: PublishedState;
  readonly sender: EndpointSender;
  readonly forwarder: CallForwarder;
}

/**
 * Creates the components that send requests to endpoints.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const log: SharedLog;
 *
 * const { forwarder } = createServingComponents(context, {
 *   log,
 *   onConfiguration: () => {},
 * });
 * ```
 * @param context - The dependencies that all components share.
 * @param options - The shared log, and the callback for each configuration that comes into force.
 */
export function createServingComponents(
  context: HostContext,
  options: {
    readonly log: SharedLog;
    readonly onConfiguration: (table: RouteTable) => void;
  },
): ServingComponents {
  const { settings, clock } = context;
  const directory: EndpointDirectory = new EndpointDirectory({
    ...context,
    getLastFailureAtMs: () => published.endpointReadFailedAtMs,
  });
  const published: PublishedState = new PublishedState({
    ...context,
    ...options,
    directory,
  });
  const limits = new ObservedLimits(context);
  const sender = new EndpointSender({
    clock,
    directory,
    limits,
    maxAnswerBytes: settings.memoryBytes / ANSWER_MEMORY_DIVISOR,
  });
  const forwarder = new CallForwarder({
    ...context,
    directory,
    sender,
    failureDomain: settings.failureDomain,
  });
  return { directory, limits, published, sender, forwarder };
}
