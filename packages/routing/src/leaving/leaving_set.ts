/**
 * Records which incarnations of endpoints are leaving, independent of the source
 * of the report.
 * @module
 */
import type { EndpointId, Incarnation } from "@briarhill/common/ids/ids";

const MAX_ENTRIES = 4096;

/** An incarnation of an endpoint that is leaving. */
export interface LeavingEndpoint {
  readonly id: EndpointId;
  readonly incarnation: Incarnation;
}

/**
 * The incarnations of endpoints that are leaving. A late list or report can't
 * undo an entry: it applies until a newer incarnation appears.
 */
export class LeavingSet {
  readonly #incarnations = new Map<EndpointId, Incarnation>();

  /**
   * Adds an endpoint and returns whether the set changed.
   *
   * @param endpoint - The endpoint that is leaving.
   */
  add(endpoint: LeavingEndpoint): boolean {
    const { id, incarnation } = endpoint;
    const known = this.#incarnations.get(id);
    if (known !== undefined && known >= incarnation) {
      return false;
    }
    this.#incarnations.delete(id);
    this.#incarnations.set(id, incarnation);
    const oldest = this.#incarnations.keys().next();
    if (this.#incarnations.size > MAX_ENTRIES && !oldest.done) {
      this.#incarnations.delete(oldest.value);
    }
    return true;
  }

  /**
   * Returns whether an incarnation of an endpoint is leaving.
   *
   * @param endpoint - The incarnation of the endpoint.
   */
  has(endpoint: LeavingEndpoint): boolean {
    return (this.#incarnations.get(endpoint.id) ?? -1) >= endpoint.incarnation;
  }

  /** Returns all entries, the newest last. */
  list(): readonly LeavingEndpoint[] {
    return [...this.#incarnations].map(([id, incarnation]) => ({
      id,
      incarnation,
    }));
  }

  /**
   * Removes the entries of endpoints that the platform no longer lists.
   *
   * @param isListed - Returns whether the platform lists an endpoint.
   */
  prune(isListed: (id: EndpointId) => boolean): void {
    for (const id of this.#incarnations.keys()) {
      if (!isListed(id)) {
        this.#incarnations.delete(id);
      }
    }
  }
}
