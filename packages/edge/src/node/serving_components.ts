/**
 * Creates the components of a host that send requests to endpoints.
 * @module
 */
import type { SharedLog } from "@briarhill/common/log/shared_log";
import type { RouteTable } from "@briarhill/routing/table/route_table";
import { CallForwarder } from "../calls/call_forwarder.ts";
import { EndpointSender } from "../calls/endpoint_sender.ts";
import {
  type CrashComponents,
  createCrashComponents,
} from "../crashes/create_crash_components.ts";
import { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import { IncarnationCheck } from "../endpoints/incarnation_check.ts";
import {
  createLimitComponents,
  type LimitComponents,
  type LimitComponentsOptions,
} from "../limits/create_limit_components.ts";
import {
  createOriginComponents,
  type OriginComponents,
} from "../origins/create_origin_components.ts";
import { CallRelay } from "../reach/call_relay.ts";
import {
  createReachComponents,
  type ReachComponents,
} from "../reach/create_reach_components.ts";
import type { PeerList } from "../peers/peer_list.ts";
import type { HostContext } from "./host_context.ts";
import { PublishedState } from "./published_state.ts";

/** A response may take at most the host's memory divided by this, so that a few endless responses can't exhaust it. */
const ANSWER_MEMORY_DIVISOR = 64;

/** The components of a host that send requests to endpoints. */
export interface ServingComponents
  extends LimitComponents, CrashComponents, OriginComponents, ReachComponents {
  readonly directory: EndpointDirectory;
  readonly published: PublishedState;
  readonly sender: EndpointSender;
  readonly relay: CallRelay;
  readonly forwarder: CallForwarder;
  readonly incarnations: IncarnationCheck;
  /** Follow what other hosts write to the shared log. */
  readonly followers: readonly {
    readonly start: () => void;
    readonly stop: () => void;
  }[];
}

type ServingParts =
  & LimitComponents
  & CrashComponents
  & ReachComponents
  & Pick<ServingComponents, "directory" | "published">;

/** Options of {@link createServingComponents}. */
export interface ServingOptions {
  readonly log: SharedLog;
  readonly peers: PeerList;
  readonly onConfiguration: (table: RouteTable) => void;
  /** Returns whether this host owns a shard. */
  readonly getOwnership: LimitComponentsOptions["getOwnership"];
}

/**
 * Creates the components that send requests to endpoints.
 *
 * @example
 * ```ts
 * declare const context: HostContext;
 * declare const options: ServingOptions;
 *
 * const { forwarder } = createServingComponents(context, options);
 * ```
 * @param context - The dependencies that all components share.
 * @param options - The shared log, the other hosts, this host's shards, and the callback for each configuration that comes into force.
 */
export function createServingComponents(
  context: HostContext,
  options: ServingOptions,
): ServingComponents {
  const directory: EndpointDirectory = new EndpointDirectory({
    ...context,
    getLastFailureAtMs: () => published.endpointReadFailedAtMs,
    onRemoved: (ids) => {
      limitComponents.limits.removeLimits(ids);
      limitComponents.permitOwner.removeEndpoints(ids);
      crashComponents.crashGuard.applyRemovals(ids);
    },
  });
  const published: PublishedState = new PublishedState({
    ...context,
    ...options,
    directory,
  });
  const limitComponents: LimitComponents = createLimitComponents(
    context,
    { ...options, directory },
  );
  const shared = { ...options, directory };
  const reachComponents = createReachComponents(context, {
    ...shared,
    getTable: () => published.table,
  });
  const crashComponents: CrashComponents = createCrashComponents(context, {
    ...shared,
    ...reachComponents,
  });
  const parts = {
    ...limitComponents,
    ...reachComponents,
    ...crashComponents,
    directory,
    published,
  };
  return buildComponents(context, { ...options, parts });
}

function buildComponents(
  context: HostContext,
  options: ServingOptions & {
    readonly parts: ServingParts;
  },
): ServingComponents {
  const { parts } = options;
  const { published, sharedLimits, sharedCrashes, sharedReach } = parts;
  const sender = createSender(context, parts);
  const relay = createRelay(context, parts);
  const incarnations = new IncarnationCheck({
    ...context,
    ...parts,
    sender,
    getListAgeMs: () => published.getEndpointListAgeMs(),
  });
  const origins = createOriginComponents(context, {
    ...options,
    ...parts,
    incarnations,
  });
  const { softwareVersions } = origins;
  return {
    ...parts,
    ...origins,
    sender,
    relay,
    incarnations,
    followers: [
      published,
      sharedLimits,
      sharedCrashes,
      sharedReach,
      softwareVersions,
    ],
    forwarder: new CallForwarder({ ...context, ...parts, sender, relay }),
  };
}

function createRelay(
  context: HostContext,
  { reach }: Pick<ServingParts, "reach">,
): CallRelay {
  return new CallRelay({
    ...context,
    paths: reach.paths,
    peerPort: context.settings.peers.port,
    maxAnswerBytes: getMaxAnswerBytes(context),
  });
}

function getMaxAnswerBytes({ settings }: HostContext): number {
  return settings.memoryBytes / ANSWER_MEMORY_DIVISOR;
}

function createSender(
  context: HostContext,
  options: {
    readonly directory: EndpointDirectory;
    readonly limits: LimitComponents["limits"];
    readonly reach: ReachComponents["reach"];
  },
): EndpointSender {
  return new EndpointSender({
    ...options,
    ...context,
    maxAnswerBytes: getMaxAnswerBytes(context),
  });
}
