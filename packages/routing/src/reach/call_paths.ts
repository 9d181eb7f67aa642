/**
 * Decides by which way a call gets to the endpoints of its service: over this
 * host's own links, over one other host, or not at all. A call must never pass
 * more than one other host.
 *
 * Load pattern: three quarters of the hosts lose their links at once, and the
 * rest has to carry all calls. Hosts in the same failure domain are preferred, and
 * hosts that don't answer are left out for a growing time, so that the calls of
 * hosts that know the same spread over all that still reach the endpoints.
 * @module
 */
import type { FailureDomain } from "@briarhill/common/ids/ids";
import type { SeededRandom } from "@briarhill/common/random/seeded_random";
import type { HostReach } from "./host_reach.ts";
import type { ServiceReach } from "./service_reach.ts";

/** Maximum number of hosts that are tried for one call. */
const MAX_RELAYS = 2;
/** First time for which a host that does not answer is left out, in milliseconds; it doubles up to the maximum. */
const FIRST_SUSPICION_MS = 1_000;
const MAX_SUSPICION_MS = 8_000;
/** Time for which a host is left out for a service that it has just failed to reach, in milliseconds. */
const UNREACHED_MS = 300;

/** Why a call is rejected if no endpoint of its service can be reached. */
export const UNREACHED_REASON = "unreachable";

/** The way of a call to the endpoints. */
export type CallPath =
  | { readonly kind: "direct" }
  /** Over one of these hosts, in this order. */
  | { readonly kind: "relayed"; readonly hosts: readonly string[] }
  /** No host reaches the service. */
  | { readonly kind: "none"; readonly retryAfterMs: number };

interface Suspicion {
  readonly failures: number;
  readonly untilMs: number;
}

/** Options of {@link CallPaths}. */
export interface CallPathsOptions {
  /** The IP address and the failure domain of this host. */
  readonly local: Pick<HostReach, "host" | "failureDomain">;
  /** Spreads calls over hosts. */
  readonly random: SeededRandom;
  /** Returns whether what the other hosts say of themselves was read just now; what is older may be wrong. */
  readonly isCurrent: () => boolean;
}

/** Knows which hosts reach which services, and decides the ways of calls. */
export class CallPaths {
  readonly #host: string;
  readonly #failureDomain: FailureDomain;
  readonly #random: SeededRandom;
  readonly #isCurrent: () => boolean;
  readonly #hosts = new Map<string, HostReach>();
  readonly #suspicions = new Map<string, Suspicion>();
  /** Until when a host is left out for a service, by host and service. */
  readonly #unreachedUntilMs = new Map<string, number>();

  constructor(options: CallPathsOptions) {
    const { local, random, isCurrent } = options;
    this.#host = local.host;
    this.#failureDomain = local.failureDomain;
    this.#random = random;
    this.#isCurrent = isCurrent;
  }

  /**
   * Applies what a host says of itself.
   *
   * @param reach - The services that it has lost.
   */
  applyReach(reach: HostReach): void {
    this.#hosts.set(reach.host, reach);
    // A host that has just said something lives.
    this.#suspicions.delete(reach.host);
  }

  /**
   * Removes a host that has stopped.
   *
   * @param host - Its IP address.
   */
  removeHost(host: string): void {
    this.#hosts.delete(host);
  }

  /**
   * Records that a host did not answer.
   *
   * @param host - Its IP address.
   * @param nowMs - The current time.
   */
  addFailure(host: string, nowMs: number): void {
    if (this.#isSuspect(host, nowMs)) {
      return; // Calls that were sent before it was left out fail together.
    }
    const failures = (this.#suspicions.get(host)?.failures ?? 0) + 1;
    const suspicionMs = FIRST_SUSPICION_MS * 2 ** (failures - 1);
    this.#suspicions.set(host, {
      failures,
      untilMs: nowMs + Math.min(suspicionMs, MAX_SUSPICION_MS),
    });
  }

  /**
   * Records that a host answered.
   *
   * @param host - Its IP address.
   */
  clearFailures(host: string): void {
    this.#suspicions.delete(host);
  }

  /**
   * Records that a host has just said of a call that it does not reach its service.
   *
   * @param host - Its IP address.
   * @param service - The service.
   * @param nowMs - The current time.
   */
  addUnreached(host: string, service: string, nowMs: number): void {
    this.#unreachedUntilMs.set(`${host} ${service}`, nowMs + UNREACHED_MS);
  }

  /**
   * Lists the other hosts that reach a service as far as is known, those to be asked first in front.
   *
   * @param service - The service.
   * @param nowMs - The current time.
   */
  listReaching(service: string, nowMs: number): readonly string[] {
    const isCurrent = this.#isCurrent();
    const reaching = [...this.#hosts.values()].filter((reach) =>
      reach.host !== this.#host &&
      !(isCurrent && reach.lostServices.includes(service)) &&
      !this.#isSuspect(reach.host, nowMs) &&
      nowMs >= (this.#unreachedUntilMs.get(`${reach.host} ${service}`) ?? 0)
    );
    return reaching
      .map(({ host, failureDomain }) => ({
        host,
        rank: (failureDomain === this.#failureDomain ? 0 : 1) +
          this.#random.getFloat(),
      }))
      .toSorted((first, second) => first.rank - second.rank)
      .map(({ host }) => host);
  }

  /**
   * Lists the hosts that may handle a call of a service, in the order in which to try
   * them.
   *
   * @param service - The service.
   * @param nowMs - The current time.
   */
  listRelays(service: string, nowMs: number): readonly string[] {
    return this.listReaching(service, nowMs).slice(0, MAX_RELAYS);
  }

  /**
   * Lists the hosts to ask whether they reach a service: those that are taken to do so,
   * or any others if there are none, as what they have said may be outdated.
   *
   * @param service - The service.
   * @param nowMs - The current time.
   */
  listAsked(service: string, nowMs: number): readonly string[] {
    const relays = this.listRelays(service, nowMs);
    const others = [...this.#hosts.keys()].filter((host) =>
      host !== this.#host && !this.#isSuspect(host, nowMs)
    );
    return relays.length > 0 ? relays : others
      .map((host) => ({ host, rank: this.#random.getFloat() }))
      .toSorted((first, second) => first.rank - second.rank)
      .map(({ host }) => host)
      .slice(0, MAX_RELAYS);
  }

  /**
   * Records that a host has just answered that it reaches a service, which is newer than
   * what it has said through the store.
   *
   * @param host - Its IP address.
   * @param service - The service.
   */
  setReaching(host: string, service: string): void {
    const reach = this.#hosts.get(host);
    if (reach !== undefined) {
      const lostServices = reach.lostServices.filter((lost) =>
        lost !== service
      );
      this.#hosts.set(host, { ...reach, lostServices });
    }
    this.#unreachedUntilMs.delete(`${host} ${service}`);
  }

  /**
   * Returns whether another host that has lost nothing is known.
   *
   * @param nowMs - The current time.
   */
  hasUnharmedHost(nowMs: number): boolean {
    return [...this.#hosts.values()].some(({ host, lostServices }) =>
      host !== this.#host && lostServices.length === 0 &&
      !this.#isSuspect(host, nowMs)
    );
  }

  #isSuspect(host: string, nowMs: number): boolean {
    return nowMs < (this.#suspicions.get(host)?.untilMs ?? 0);
  }

  /**
   * Decides the way of a call.
   *
   * @param service - The service of the call.
   * @param call - What this host knows of the service, whether another host has passed the call on, and the current time.
   */
  decidePath(
    service: string,
    call: {
      readonly reach: ServiceReach;
      readonly isRelayed: boolean;
      readonly nowMs: number;
    },
  ): CallPath {
    const { reach, isRelayed, nowMs } = call;
    if (!reach.isLost) {
      return { kind: "direct" };
    }
    const hosts = isRelayed ? [] : this.listRelays(service, nowMs);
    if (hosts.length > 0) {
      return { kind: "relayed", hosts };
    }
    return reach.hasOpenConnections
      ? { kind: "direct" }
      : { kind: "none", retryAfterMs: reach.getNextRoundMs(nowMs) };
  }
}
