/**
 * Decides to which endpoint a request may be sent now. An endpoint with a limit
 * must get a request only with a permit, which the owner of the service's permits
 * grants for all hosts.
 * @module
 */
import type { EndpointId, FailureDomain } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { ObservedLimits } from "./observed_limits.ts";
import type { PermitClient } from "./permit_client.ts";
import type { PermitReply } from "./permit_message.ts";

/** Requests of live callers, or of trainers. */
export type RequestFlow = "live" | "training";

/** A request that needs a permit. */
export interface PermitNeed {
  readonly service: string;
  readonly flow: RequestFlow;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** The name of the caller's workspace, if it has one. */
  readonly workspace?: string | undefined;
  /** Cancels the request. */
  readonly signal: AbortSignal;
}

/** A request that needs an endpoint. */
export interface AdmissionRequest extends PermitNeed {
  /** The endpoints that may serve it. */
  readonly candidates: readonly EndpointStructure[];
  /** Endpoints that were tried before; used only if there is no other candidate. */
  readonly tried: ReadonlySet<EndpointId>;
  /** Whether another attempt is in flight, so that this one may use only untried endpoints without a limit. */
  readonly isHedge: boolean;
  /** The time that the request can wait for a permit if all candidates have limits, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Why a request is rejected without an attempt. */
export type RejectionReason =
  /** No permit is available in time. */
  | "limited"
  /** No endpoint accepts connections. */
  | "unreachable"
  /** Endpoints have ended while they ran it. */
  | "crashes-endpoints"
  /** It is not known at which software version its stream has begun. */
  | "unknown-origin"
  /** No endpoint has the software version that has begun its stream. */
  | "version-gone";

/** The rejection of a request. */
export interface Rejection {
  readonly reason: RejectionReason;
  /** The time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** The endpoint of a request; "none" if there is no candidate. */
export type Admission =
  | { readonly kind: "admitted"; readonly endpoint: EndpointStructure }
  | { readonly kind: "none" }
  | (Rejection & { readonly kind: "rejected" });

/** Options of {@link EndpointAdmission}. */
export interface EndpointAdmissionOptions {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  readonly limits: ObservedLimits;
  readonly permits: PermitClient;
  readonly failureDomain: FailureDomain;
}

/** Picks endpoints for requests and acquires the permits that they need. */
export class EndpointAdmission {
  readonly #options: EndpointAdmissionOptions;
  /** The time until which a limited endpoint is known to have no permit, by endpoint. */
  readonly #exhaustedUntilMs = new Map<EndpointId, number>();
  /** Endpoints for which the owner is being asked without waiting. */
  readonly #asked = new Set<EndpointId>();

  constructor(options: EndpointAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Returns whether to ask for a permit of an endpoint now; true for an endpoint without a limit.
   *
   * @param endpoint - The endpoint.
   */
  isAvailable(endpoint: EndpointStructure): boolean {
    const { id } = endpoint;
    const nowMs = this.#options.clock.getMonotonicMs();
    return !this.isLimited(endpoint) ||
      (!this.#asked.has(id) && nowMs >= (this.#exhaustedUntilMs.get(id) ?? 0));
  }

  /**
   * Returns whether an endpoint states a limit.
   *
   * @param endpoint - The endpoint.
   */
  isLimited(endpoint: EndpointStructure): boolean {
    return this.#options.limits.getLimit(endpoint) !== undefined;
  }

  /**
   * Picks the endpoint for a request, with a permit if the endpoint has a limit.
   *
   * @param request - The request.
   */
  async admit(request: AdmissionRequest): Promise<Admission> {
    const { tried } = request;
    const candidates = request.candidates.filter((endpoint) =>
      this.#getClosedMs(endpoint) === 0
    );
    if (candidates.length === 0 && request.candidates.length > 0) {
      const closedMs = request.candidates.map((endpoint) =>
        this.#getClosedMs(endpoint)
      );
      return {
        kind: "rejected",
        reason: "unreachable",
        retryAfterMs: Math.min(...closedMs),
      };
    }
    const untried = candidates.filter(({ id }) => !tried.has(id));
    const pool = untried.length > 0 ? untried : candidates;
    const limited = pool.filter((endpoint) => this.isLimited(endpoint));
    const usable = this.#listUsable(untried);
    if (request.isHedge) {
      return this.#pick(usable);
    }
    if (limited.length === 0) {
      return this.#pick(pool);
    }
    const fallback = usable.length > 0 ? usable : this.#listUsable(candidates);
    if (fallback.length === 0) {
      return await this.#acquirePermit(request, limited, request.maxWaitMs);
    }
    const available = limited.filter((endpoint) => this.isAvailable(endpoint));
    const pick = this.#pick([...available, ...usable]);
    if (pick.kind === "admitted" && !this.isLimited(pick.endpoint)) {
      return pick;
    }
    const admission = await this.#acquirePermit(request, available, 0);
    return admission.kind === "admitted" ? admission : this.#pick(fallback);
  }

  /**
   * Acquires a permit of one endpoint if there is one now. Endpoints without a limit need none.
   *
   * @param endpoint - The endpoint.
   * @param request - The request.
   */
  async admitTo(
    endpoint: EndpointStructure,
    request: PermitNeed,
  ): Promise<Admission> {
    if (!this.isLimited(endpoint)) {
      return { kind: "admitted", endpoint };
    }
    this.#asked.add(endpoint.id);
    try {
      return await this.#acquirePermit(request, [endpoint], 0);
    } finally {
      this.#asked.delete(endpoint.id);
    }
  }

  #getClosedMs({ id }: EndpointStructure): number {
    const { directory, clock } = this.#options;
    return directory.endpointPicker.getLoad(id)
      .getClosedMs(clock.getMonotonicMs());
  }

  /** Lists the endpoints without a limit that have not just rejected or failed a request. */
  #listUsable(
    endpoints: readonly EndpointStructure[],
  ): readonly EndpointStructure[] {
    const { directory, clock } = this.#options;
    const nowMs = clock.getMonotonicMs();
    return endpoints.filter((endpoint) =>
      !this.isLimited(endpoint) &&
      !directory.endpointPicker.getLoad(endpoint.id).isPaused(nowMs)
    );
  }

  #pick(candidates: readonly EndpointStructure[]): Admission {
    const { directory, clock, failureDomain } = this.#options;
    const endpoint = directory.endpointPicker.pickEndpoint({
      candidates,
      tried: new Set(),
      failureDomain,
      nowMs: clock.getMonotonicMs(),
    });
    return endpoint === undefined
      ? { kind: "none" }
      : { kind: "admitted", endpoint };
  }

  async #acquirePermit(
    request: PermitNeed,
    endpoints: readonly EndpointStructure[],
    maxWaitMs: number,
  ): Promise<Admission> {
    if (endpoints.length === 0) {
      return { kind: "none" };
    }
    const { permits, limits } = this.#options;
    const { service, flow, priority, workspace, signal } = request;
    const reply = await permits.callOwner({
      service,
      limits: endpoints.flatMap((endpoint) => limits.createReport(endpoint)),
      request: {
        flow,
        priority,
        workspace,
        endpoints: endpoints.map(({ id }) => id),
        maxWaitMs,
      },
    }, signal);
    const admission = this.#decodeReply(reply, endpoints);
    if (admission.kind === "rejected" && maxWaitMs === 0) {
      const untilMs = this.#options.clock.getMonotonicMs() +
        admission.retryAfterMs;
      endpoints.forEach(({ id }) => this.#exhaustedUntilMs.set(id, untilMs));
    }
    return admission;
  }

  #decodeReply(
    reply: PermitReply,
    endpoints: readonly EndpointStructure[],
  ): Admission {
    if (reply.kind === "granted") {
      const endpoint = endpoints.find(({ id }) => id === reply.endpoint);
      return endpoint === undefined
        ? { kind: "none" }
        : { kind: "admitted", endpoint };
    }
    const retryAfterMs = reply.kind === "rejected" ? reply.retryAfterMs : 0;
    return { kind: "rejected", reason: "limited", retryAfterMs };
  }
}
