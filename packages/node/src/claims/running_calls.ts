/**
 * Tracks the claimed calls that are running on this host, including those whose
 * callers have disconnected.
 * @module
 */

/** Claimed calls that are running on this host; a call runs to its end even if its caller disconnects. */
export class RunningCalls {
  readonly #callers = new Set<AbortSignal>();
  readonly #waiting: (() => void)[] = [];

  /**
   * Adds a call, and returns a function that removes it.
   *
   * @param caller - Aborted when the caller disconnects.
   */
  add(caller: AbortSignal): () => void {
    this.#callers.add(caller);
    return () => {
      this.#callers.delete(caller);
      if (this.#callers.size === 0) {
        this.#waiting.splice(0).forEach((resolve) => resolve());
      }
    };
  }

  /** Returns the number of running calls whose callers have disconnected. */
  countDisconnected(): number {
    return [...this.#callers].filter(({ aborted }) => aborted).length;
  }

  /** Resolves once no call is running. */
  waitUntilIdle(): Promise<void> {
    return this.#callers.size === 0
      ? Promise.resolve()
      : new Promise((resolve) => this.#waiting.push(resolve));
  }
}
