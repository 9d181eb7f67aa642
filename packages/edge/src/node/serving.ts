/**
 * The parts of a host that send requests to endpoints.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import { CallForwarder } from "../calls/call_forwarder.ts";
import { EndpointSender } from "../calls/endpoint_sender.ts";
import { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { HostContext } from "./host_context.ts";
import { PublishedState } from "./published_state.ts";

/** One answer takes no more than this part of the host's memory, so that a few endless ones do no harm. */
const ANSWER_MEMORY_DIVISOR = 64;

/** The parts of a host that send requests to endpoints. */
export interface Serving {
  readonly directory: EndpointDirectory;
  readonly published: PublishedState;
  readonly sender: EndpointSender;
  readonly forwarder: CallForwarder;
}

/**
 * Creates the parts that send requests to endpoints.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const log: SharedLog;
 *
 * const { forwarder } = createServing(context, { log, onConfiguration: () => {} });
 * ```
 * @param context - What all parts share.
 * @param options - The shared log, and what is called with each configuration.
 */
export function createServing(
  context: HostContext,
  options: {
    readonly log: SharedLog;
    readonly onConfiguration: (table: RouteTable) => void;
  },
): Serving {
  const { settings, clock } = context;
  const directory: EndpointDirectory = new EndpointDirectory({
    ...context,
    getDisturbedAtMs: () => published.disturbedAtMs,
  });
  const published: PublishedState = new PublishedState({
    ...context,
    ...options,
    directory,
  });
  const sender = new EndpointSender({
    clock,
    directory,
    maxAnswerBytes: settings.memoryBytes / ANSWER_MEMORY_DIVISOR,
  });
  const forwarder = new CallForwarder({
    ...context,
    directory,
    sender,
    failureDomain: settings.failureDomain,
  });
  return { directory, published, sender, forwarder };
}
