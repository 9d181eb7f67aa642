/**
 * Admits requests to a fixed number of places, so that no workspace takes all.
 *
 * Load pattern: the hosts of a failure domain lose their links, and the others get
 * all calls of the domain at once. One workspace that sends ten times its share
 * would fill every place, and the calls of the small ones be rejected for its
 * excess. A workspace may hold a multiple of the places that are free, so that it
 * can use most of them alone and leaves some whoever else is there.
 * @module
 */

/** A workspace may hold this many times the free places: 51 of 64 alone, 28 beside another one that takes as many. */
const MAX_RATIO_TO_FREE = 4;

/** The places of a host, and how many each workspace holds. */
export class WorkspacePlaces {
  readonly #capacity: number;
  readonly #held = new Map<string, number>();
  #taken = 0;

  /**
   * @param capacity - The number of places.
   */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * Takes a place and returns whether there is one for the workspace.
   *
   * @param workspace - The name of the workspace; a request without one may take any free place.
   */
  takePlace(workspace: string | undefined): boolean {
    const free = this.#capacity - this.#taken;
    const held = this.#held.get(workspace ?? "") ?? 0;
    const isWithinShare = workspace === undefined ||
      held < MAX_RATIO_TO_FREE * free;
    if (free <= 0 || !isWithinShare) {
      return false;
    }
    this.#taken++;
    this.#held.set(workspace ?? "", held + 1);
    return true;
  }

  /**
   * Releases a place that was taken.
   *
   * @param workspace - The name of the workspace that took it.
   */
  releasePlace(workspace: string | undefined): void {
    const held = (this.#held.get(workspace ?? "") ?? 0) - 1;
    this.#taken--;
    held > 0
      ? this.#held.set(workspace ?? "", held)
      : this.#held.delete(workspace ?? "");
  }
}
