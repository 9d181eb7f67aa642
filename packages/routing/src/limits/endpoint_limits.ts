/**
 * Tracks the limits that endpoints state in their responses. A limit ends only
 * by a response to a request that was sent after the limit was last confirmed,
 * as responses on different connections may overtake each other.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { EndpointStructure } from "../endpoints/endpoint.ts";
import type { EndpointLimit, StatedLimit } from "./request_limit.ts";

/** The effect of a response or record on a limit. */
export type LimitChange = "set" | "confirmed" | "ended" | "unchanged";

interface KnownLimit extends EndpointLimit {
  /** The time at which the limit was first known. */
  readonly knownSinceMs: number;
}

/** The limits that are in force, as far as this host knows. */
export class EndpointLimits {
  readonly #limits = new Map<EndpointId, KnownLimit>();

  /**
   * Applies what a response states.
   *
   * @param endpoint - The endpoint that sent the response.
   * @param stated - The limit that the response states.
   * @param times - When the request was sent and when the response arrived.
   */
  applyResponse(
    endpoint: EndpointIncarnation,
    stated: StatedLimit,
    times: { readonly sentAtMs: number; readonly nowMs: number },
  ): LimitChange {
    const known = this.#limits.get(endpoint.id);
    if (stated.kind === "rate") {
      return this.#setLimit(endpoint, stated.ratePerS, times.nowMs);
    }
    const isSettled = stated.kind === "invalid" || known === undefined ||
      times.sentAtMs < known.confirmedAtMs;
    if (isSettled) {
      return "unchanged";
    }
    this.#limits.delete(endpoint.id);
    return "ended";
  }

  /**
   * Applies a limit that another host has learned of. A limit that this host knows already stays as it is.
   *
   * @param limit - The limit.
   */
  addLimit(limit: EndpointLimit): LimitChange {
    const { endpoint, startedAtMs, ratePerS, confirmedAtMs } = limit;
    const known = this.#limits.get(endpoint);
    if (known !== undefined && known.startedAtMs >= startedAtMs) {
      return "unchanged";
    }
    return this.#setLimit(
      { id: endpoint, startedAtMs },
      ratePerS,
      confirmedAtMs,
    );
  }

  /**
   * Returns the limit of an endpoint, or undefined if it has none. The limit of
   * an earlier incarnation does not apply.
   *
   * @param endpoint - The endpoint.
   */
  getLimit(endpoint: EndpointIncarnation): EndpointLimit | undefined {
    const known = this.#limits.get(endpoint.id);
    return known?.startedAtMs === endpoint.startedAtMs ? known : undefined;
  }

  /**
   * Returns for how long this host has known the limit of an endpoint, in milliseconds.
   *
   * @param id - The endpoint's ID.
   * @param nowMs - The current time.
   */
  getAgeMs(id: EndpointId, nowMs: number): number {
    return nowMs - (this.#limits.get(id)?.knownSinceMs ?? nowMs);
  }

  /**
   * Removes the limit of an endpoint if no response has confirmed it since a time,
   * and returns whether it was removed.
   *
   * @param id - The endpoint's ID.
   * @param sinceMs - The time.
   */
  removeUnconfirmed(id: EndpointId, sinceMs: number): boolean {
    const known = this.#limits.get(id);
    return known !== undefined && known.confirmedAtMs <= sinceMs &&
      this.#limits.delete(id);
  }

  /**
   * Removes the limits of endpoints that no longer exist.
   *
   * @param ids - The endpoints' IDs.
   */
  removeLimits(ids: readonly EndpointId[]): void {
    ids.forEach((id) => this.#limits.delete(id));
  }

  #setLimit(
    { id, startedAtMs }: EndpointIncarnation,
    ratePerS: number,
    nowMs: number,
  ): LimitChange {
    const known = this.#limits.get(id);
    const isSame = known?.startedAtMs === startedAtMs;
    if (known !== undefined && known.startedAtMs > startedAtMs) {
      return "unchanged";
    }
    this.#limits.set(id, {
      endpoint: id,
      startedAtMs,
      ratePerS,
      confirmedAtMs: nowMs,
      knownSinceMs: isSame ? known.knownSinceMs : nowMs,
    });
    return isSame && known.ratePerS === ratePerS ? "confirmed" : "set";
  }
}

/** An endpoint and its start time, which tells its incarnations apart. */
export type EndpointIncarnation = Pick<EndpointStructure, "id" | "startedAtMs">;
