/**
 * The endpoints that may get work, as the platform's list tells them.
 *
 * Load pattern: entries of live endpoints lapse together while the store is
 * away. Emptying the list then would refuse every request, so a removal that
 * comes with an outage waits until the endpoints have had time to come back.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { EndpointStructure } from "./endpoint.ts";

/** How long after the store's return lapsed entries may still come back, in milliseconds (a bound of the platform). */
const RETURN_GRACE_MS = 2_000;

/** How long a removed endpoint is remembered, in milliseconds; above the delay of any entry. */
const REMEMBER_MS = 60_000;

/** What an entry changed. */
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

/** The endpoints that may get work. */
export class EndpointTable {
  readonly #known = new Map<EndpointId, KnownEndpoint>();
  #listed: readonly EndpointStructure[] | undefined;

  /**
   * Applies the newest entry of an endpoint. Leaving is final for one start of an endpoint.
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
   * Marks an endpoint as leaving by its own word, and tells whether that was
   * news. Final for this start of it, whatever its entry says.
   *
   * @param structure - The endpoint as it was when it was sent to.
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
   * @param id - The endpoint.
   * @param options - The time, and when the store was last disturbed, on one clock.
   */
  applyRemoval(
    id: EndpointId,
    options: { readonly nowMs: number; readonly disturbedAtMs: number },
  ): EndpointChange {
    const known = this.#known.get(id);
    if (known === undefined || !known.isListed) {
      return "outdated";
    }
    const removeAtMs = options.disturbedAtMs + RETURN_GRACE_MS;
    if (removeAtMs > options.nowMs) {
      this.#set(id, { ...known, removeAtMs });
      return "removal-pending";
    }
    this.#set(id, { ...known, isListed: false, removeAtMs: options.nowMs });
    return "removed";
  }

  /**
   * Removes the endpoints whose time to come back has passed, and returns their ids.
   *
   * @param nowMs - The time.
   */
  removeLapsed(nowMs: number): readonly EndpointId[] {
    const lapsed = [...this.#known.entries()]
      .filter(([, known]) => known.isListed && known.removeAtMs <= nowMs);
    for (const [id, known] of lapsed) {
      this.#set(id, { ...known, isListed: false });
    }
    this.#pruneOld(nowMs);
    return lapsed.map(([id]) => id);
  }

  /** Returns the endpoints that may get new work. */
  listUsable(): readonly EndpointStructure[] {
    this.#listed ??= [...this.#known.values()]
      .filter(({ isListed, structure }) => isListed && !structure.isLeaving)
      .map(({ structure }) => structure);
    return this.#listed;
  }

  /**
   * Returns an endpoint that may get new work, or undefined.
   *
   * @param id - The endpoint.
   */
  getUsable(id: EndpointId): EndpointStructure | undefined {
    const known = this.#known.get(id);
    return known?.isListed && !known.structure.isLeaving
      ? known.structure
      : undefined;
  }

  /** Entries that come late are known by the last one for a while only. */
  #pruneOld(nowMs: number): void {
    for (const [id, { isListed, removeAtMs }] of this.#known) {
      if (!isListed && nowMs - removeAtMs > REMEMBER_MS) {
        this.#known.delete(id);
      }
    }
  }

  #set(id: EndpointId, known: KnownEndpoint): void {
    this.#known.set(id, known);
    this.#listed = undefined;
  }
}
