/**
 * Tracks the endpoints that may receive requests, from the entries of the
 * platform's endpoint list.
 *
 * During an outage of the platform's store, entries of live endpoints expire
 * together. Removing them at once would empty the list and refuse every
 * request, so a removal during an outage is delayed until the endpoints have
 * had time to register again.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { EndpointStructure } from "./endpoint.ts";

/** Time after the store's recovery within which expired entries may be registered again, in milliseconds (a bound of the platform). */
const REREGISTRATION_GRACE_MS = 2_000;

/** Time for which a removed endpoint is retained to detect late entries, in milliseconds; longer than the delay of any entry. */
const REMOVED_RETENTION_MS = 60_000;

/** Effect of an entry or a removal on the table. */
export type EndpointChange =
  | "added"
  | "updated"
  | "leaving"
  | "removed"
  | "removal-pending"
  | "outdated";

interface KnownEndpoint {
  readonly structure: EndpointStructure;
  readonly isListed: boolean;
  readonly removeAtMs: number;
}

/** The endpoints that may receive requests. */
export class EndpointTable {
  readonly #known = new Map<EndpointId, KnownEndpoint>();
  #listed: readonly EndpointStructure[] | undefined;

  /**
   * Applies an entry of an endpoint unless it is older than the known one. Once
   * an endpoint is leaving, it stays so until it is restarted.
   *
   * @param structure - The entry.
   */
  applyEntry(structure: EndpointStructure): EndpointChange {
    const known = this.#known.get(structure.id);
    const old = known?.structure;
    const isSameStart = old?.startedAtMs === structure.startedAtMs;
    const isOlder = old !== undefined &&
      (structure.startedAtMs < old.startedAtMs ||
        (isSameStart && structure.beat < old.beat));
    if (isOlder) {
      return "outdated";
    }
    const isLeaving = structure.isLeaving ||
      (isSameStart && old?.isLeaving === true);
    this.#set(structure.id, {
      structure: isLeaving ? { ...structure, isLeaving } : structure,
      isListed: true,
      removeAtMs: Infinity,
    });
    if (isLeaving) {
      return "leaving";
    }
    return known?.isListed ? "updated" : "added";
  }

  /**
   * Marks an endpoint as leaving because it reported so in a response, and
   * returns whether this changed its state. It stays leaving until it is
   * restarted, whatever its entry says.
   *
   * @param structure - The endpoint as known when the request was sent.
   */
  setLeaving({ id, startedAtMs }: EndpointStructure): boolean {
    const known = this.#known.get(id);
    if (
      known === undefined || known.structure.isLeaving ||
      known.structure.startedAtMs !== startedAtMs
    ) {
      return false;
    }
    const structure = { ...known.structure, isLeaving: true };
    this.#set(id, { ...known, structure });
    return true;
  }

  /**
   * Applies the removal of an entry.
   *
   * @param id - The endpoint's ID.
   * @param options - The current time and the time of the store's last disruption, on one clock.
   */
  applyRemoval(
    id: EndpointId,
    options: { readonly nowMs: number; readonly lastDisruptionAtMs: number },
  ): EndpointChange {
    const known = this.#known.get(id);
    if (known === undefined || !known.isListed) {
      return "outdated";
    }
    const removeAtMs = options.lastDisruptionAtMs + REREGISTRATION_GRACE_MS;
    if (removeAtMs > options.nowMs) {
      this.#set(id, { ...known, removeAtMs });
      return "removal-pending";
    }
    this.#set(id, { ...known, isListed: false, removeAtMs: options.nowMs });
    return "removed";
  }

  /**
   * Removes the endpoints whose delayed removal is due, and returns their IDs.
   *
   * @param nowMs - The current time.
   */
  removeExpired(nowMs: number): readonly EndpointId[] {
    const expired = [...this.#known.entries()]
      .filter(([, known]) => known.isListed && known.removeAtMs <= nowMs);
    for (const [id, known] of expired) {
      this.#set(id, { ...known, isListed: false });
    }
    this.#pruneRemoved(nowMs);
    return expired.map(([id]) => id);
  }

  /** Returns the endpoints that may receive new requests. */
  listUsable(): readonly EndpointStructure[] {
    this.#listed ??= [...this.#known.values()]
      .filter(({ isListed, structure }) => isListed && !structure.isLeaving)
      .map(({ structure }) => structure);
    return this.#listed;
  }

  /**
   * Returns an endpoint if it may receive new requests, or undefined.
   *
   * @param id - The endpoint's ID.
   */
  getUsable(id: EndpointId): EndpointStructure | undefined {
    const known = this.#known.get(id);
    return known?.isListed && !known.structure.isLeaving
      ? known.structure
      : undefined;
  }

  /** Deletes removed endpoints after the time in which a late entry of theirs may arrive. */
  #pruneRemoved(nowMs: number): void {
    for (const [id, { isListed, removeAtMs }] of this.#known) {
      if (!isListed && nowMs - removeAtMs > REMOVED_RETENTION_MS) {
        this.#known.delete(id);
      }
    }
  }

  #set(id: EndpointId, known: KnownEndpoint): void {
    this.#known.set(id, known);
    this.#listed = undefined;
  }
}
