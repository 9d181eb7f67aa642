/**
 * Decides which workspace is served next, by start-time fair queueing. A turn is
 * counted when it is served, so that requests which were rejected cost nothing.
 *
 * Load pattern: one workspace sends ten times its share beside many small ones. A
 * request of a small one waits for at most one turn of each other workspace; the
 * excess of the large one waits and is rejected first. What a workspace does not
 * ask for goes to the others, and it can't be claimed later.
 * @module
 */

/** The turns of the workspaces that share one resource. */
export class WorkspaceTurns {
  /** The virtual time at which the last turn of a workspace ends; missing if it has passed. */
  readonly #endOf = new Map<string, number>();
  /** The virtual time: the start of the turn that was served last. */
  #now = 0;

  /**
   * Returns when the next turn of a workspace starts, in virtual time; the lowest is
   * served first.
   *
   * @param workspace - The name of the workspace; requests without one share turns.
   */
  getStart(workspace: string | undefined): number {
    return Math.max(this.#now, this.#endOf.get(workspace ?? "") ?? 0);
  }

  /**
   * Counts the turn of a workspace that is served.
   *
   * @param workspace - The name of the workspace.
   * @param cost - What is served, as a multiple of the usual request.
   */
  addTurn(workspace: string | undefined, cost = 1): void {
    this.#now = this.getStart(workspace);
    this.#endOf.set(workspace ?? "", this.#now + cost);
    for (const [name, end] of this.#endOf) {
      if (end <= this.#now) {
        this.#endOf.delete(name);
      }
    }
  }
}
