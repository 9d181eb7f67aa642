/**
 * Remembers lost attempts at endpoints that seemed to live on, as a proxy may
 * accept connections for an endpoint that has ended, and a host that has lost its
 * power answers nothing. The list of endpoints tells later whether they have ended.
 * @module
 */
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";

/** The time within which an endpoint that ended with the attempt is listed as restarted or removed, in milliseconds: three missed reports and the restart. */
const DOUBT_MS = 8_000;
const MAX_ATTEMPTS = 256;

/** A lost attempt at an endpoint that may have ended with it. */
export interface DoubtfulAttempt {
  readonly digest: string;
  readonly endpoint: EndpointStructure;
  readonly isTrial: boolean;
  /** On the monotonic clock. */
  readonly lostAtMs: number;
}

/** Lost attempts at endpoints that may have ended. */
export class DoubtfulAttempts {
  #attempts: readonly DoubtfulAttempt[] = [];

  /**
   * Adds a lost attempt.
   *
   * @param attempt - The attempt.
   */
  addAttempt(attempt: DoubtfulAttempt): void {
    this.#attempts = [...this.#attempts, attempt].slice(-MAX_ATTEMPTS);
  }

  /**
   * Removes and returns the attempts whose endpoint is listed as restarted.
   *
   * @param getEndpoint - Returns what is listed of an endpoint.
   * @param nowMs - The current time on the monotonic clock.
   */
  takeRestarted(
    getEndpoint: (id: string) => EndpointStructure | undefined,
    nowMs: number,
  ): readonly DoubtfulAttempt[] {
    if (this.#attempts.length === 0) {
      return [];
    }
    this.#attempts = this.#attempts.filter(({ lostAtMs }) =>
      nowMs - lostAtMs < DOUBT_MS
    );
    return this.#takeIf(({ endpoint }) =>
      (getEndpoint(endpoint.id)?.startedAtMs ?? 0) > endpoint.startedAtMs
    );
  }

  /**
   * Removes and returns the attempts at endpoints that are no longer listed.
   *
   * @param ids - The ids of the endpoints.
   * @param nowMs - The current time on the monotonic clock.
   */
  takeRemoved(
    ids: readonly string[],
    nowMs: number,
  ): readonly DoubtfulAttempt[] {
    return this.#takeIf(({ endpoint, lostAtMs }) =>
      ids.includes(endpoint.id) && nowMs - lostAtMs < DOUBT_MS
    );
  }

  #takeIf(
    isTaken: (attempt: DoubtfulAttempt) => boolean,
  ): readonly DoubtfulAttempt[] {
    const taken = this.#attempts.filter(isTaken);
    if (taken.length > 0) {
      this.#attempts = this.#attempts.filter((attempt) =>
        !taken.includes(attempt)
      );
    }
    return taken;
  }
}
