/**
 * Decides where an attempt of a request is made: at an endpoint of its route, by
 * another host that reaches the service while this one does not, or nowhere.
 * @module
 */
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import {
  type CallPath,
  UNREACHED_REASON,
} from "@briarhill/routing/reach/call_paths";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { CrashGuard, GuardedRequest } from "../crashes/crash_guard.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { EndpointAdmission } from "../limits/endpoint_admission.ts";
import type { RequestPurpose } from "../limits/observed_limits.ts";
import type { AcceptedPlacement } from "../origins/stream_origins.ts";
import type { ReachMonitor } from "../reach/reach_monitor.ts";
import type { AttemptAdmission } from "./call_outcome.ts";

/** The part of the route's objective for which a live call waits for a permit; the endpoint needs the rest. */
const LIVE_WAIT_OBJECTIVE_RATIO = 0.5;
/** The time for which a scoring call waits for a permit, in milliseconds; no caller waits for a single score. */
const SCORING_WAIT_MS = 1_000;
/** The retry delay of a scoring call while this host does not reach its service, in milliseconds. */
const UNREACHED_SCORING_RETRY_MS = 300;

/** A request that needs an endpoint of its route. */
export interface AttemptNeed {
  readonly purpose: RequestPurpose;
  /** The name of the caller's workspace, if it has one. */
  readonly workspace?: string | undefined;
  /** The content of the request if endpoints may end under it. */
  readonly guarded: GuardedRequest | undefined;
  /** The ids of the endpoints that earlier attempts were sent to. */
  readonly tried: ReadonlySet<string>;
  /** Whether an earlier attempt is in flight. */
  readonly isHedge: boolean;
  /** When the request began, on the monotonic clock. */
  readonly startedAtMs: number;
  /** Cancels the request. */
  readonly signal: AbortSignal;
  /** Whether another host has passed the request on. */
  readonly isRelayed: boolean;
  /** Restricts the endpoints of a stream. */
  readonly placement?: AcceptedPlacement;
}

/** Options of {@link RouteAdmission}. */
export interface RouteAdmissionOptions {
  readonly random: SeededRandom;
  readonly directory: EndpointDirectory;
  readonly admission: EndpointAdmission;
  readonly crashGuard: CrashGuard;
  readonly reach: ReachMonitor;
}

/** Decides where attempts are made. */
export class RouteAdmission {
  readonly #options: RouteAdmissionOptions;

  constructor(options: RouteAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Picks an endpoint of one of the route's target services, with the permit that it
   * needs, or other hosts if this one does not reach the service.
   *
   * @param route - The route of the request.
   * @param need - What the request needs.
   */
  async admitAttempt(
    route: RouteStructure,
    need: AttemptNeed,
  ): Promise<AttemptAdmission> {
    const { reach } = this.#options;
    const service = need.placement?.service ?? this.#pickService(route);
    if (need.isHedge) {
      // The links are probed before a second attempt is spent on them.
      reach.addDoubt(service, need.startedAtMs);
    }
    const path = await reach.findPath(service, need.isRelayed);
    if (path.kind !== "direct") {
      return this.#admitOverHosts(service, path, need);
    }
    const admission = await this.#admitDirect(route, need, service);
    const isUnreached = admission.kind === "rejected" &&
      admission.reason === UNREACHED_REASON;
    if (!isUnreached || need.isRelayed) {
      return admission;
    }
    const hosts = reach.listReaching(service);
    return hosts.length > 0
      ? this.#admitOverHosts(service, { kind: "relayed", hosts }, need)
      : admission;
  }

  /** Scoring calls are not passed on: their lots move to hosts that reach the service. */
  #admitOverHosts(
    service: string,
    path: Exclude<CallPath, { kind: "direct" }>,
    { purpose }: AttemptNeed,
  ): AttemptAdmission {
    if (path.kind === "relayed" && purpose !== "scoring") {
      return { ...path, service };
    }
    return {
      kind: "rejected",
      reason: UNREACHED_REASON,
      retryAfterMs: path.kind === "none"
        ? path.retryAfterMs
        : UNREACHED_SCORING_RETRY_MS,
    };
  }

  #admitDirect(
    route: RouteStructure,
    need: AttemptNeed,
    service: string,
  ): Promise<AttemptAdmission> {
    const { directory, admission } = this.#options;
    const { purpose, guarded, placement, ...rest } = need;
    const candidates = directory.listEndpoints(service).filter((endpoint) =>
      placement?.accepts(endpoint) ?? true
    );
    const decision = this.#options.crashGuard.decideRun(guarded, candidates);
    if (decision.kind === "rejected") {
      const { retryAfterMs } = decision;
      const reason = "crashes-endpoints";
      return Promise.resolve({ kind: "rejected", reason, retryAfterMs });
    }
    const isTrial = decision.kind === "trial";
    if (isTrial && need.isHedge) {
      return Promise.resolve({ kind: "none" });
    }
    const isScoring = purpose === "scoring";
    return admission.admit({
      ...rest,
      service,
      flow: isScoring ? "training" : "live",
      priority: route.priority,
      candidates: isTrial ? [decision.endpoint] : candidates,
      maxWaitMs: isScoring
        ? SCORING_WAIT_MS
        : LIVE_WAIT_OBJECTIVE_RATIO * route.objectiveMs,
    });
  }

  /** Picks the service at random, weighted by the route's traffic split. */
  #pickService({ targets }: RouteStructure): string {
    const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
    let remainingWeight = targets.length > 1
      ? totalWeight * this.#options.random.getFloat()
      : 0;
    for (const { service, weight } of targets) {
      remainingWeight -= weight;
      if (remainingWeight < 0) {
        return service;
      }
    }
    return targets[0]?.service ?? "";
  }
}
