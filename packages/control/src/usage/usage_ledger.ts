/**
 * Adds up the requests that all hosts have counted in each window of time, and
 * decides when a window is closed and which closed window is reported next.
 *
 * A window has one result: it is closed by a record that the log accepts once,
 * and only closed windows are reported. A new holder therefore repeats what its
 * predecessor has closed and computes nothing again.
 *
 * Load pattern: each host appends the counts of a window shortly after its end,
 * once or more, in any order. The platform's API is away for seconds, and holders
 * change while a report is under way.
 * @module
 */

/** What one process has counted in a window. A later record of the same process replaces it. */
export interface UsageCount {
  /** Unique for each start of a host. */
  readonly process: string;
  readonly window: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** The result of a window. */
export interface ClosedWindow {
  readonly window: number;
  readonly counts: ReadonlyMap<string, number>;
  /** All windows up to this one were acknowledged when the record was written. */
  readonly acknowledged: number;
}

/** Options of {@link UsageLedger}. */
export interface UsageLedgerOptions {
  readonly windowMs: number;
  /** Time after the end of a window at which it is closed, in milliseconds. */
  readonly closeDelayMs: number;
  /** The maximum number of windows that are closed and not acknowledged; their records must be retained. */
  readonly maxUnacknowledged: number;
}

/**
 * Returns the window in which a moment lies.
 *
 * @example
 * ```ts
 * const window = computeWindow(12_500, 5_000);
 * ```
 * @param wallMs - Milliseconds since 1970.
 * @param windowMs - The duration of a window, in milliseconds.
 */
export function computeWindow(wallMs: number, windowMs: number): number {
  return Math.floor(wallMs / windowMs);
}

/** The counts and the closed windows that the holder of the duty knows. */
export class UsageLedger {
  readonly #options: UsageLedgerOptions;
  /** The counts of each window that is not closed, by process. */
  readonly #open = new Map<
    number,
    Map<string, ReadonlyMap<string, number>>
  >();
  readonly #unacknowledged = new Map<number, ClosedWindow>();
  #firstWindow: number | undefined;
  #lastClosed: number | undefined;
  #acknowledged = -Infinity;

  constructor(options: UsageLedgerOptions) {
    this.#options = options;
  }

  /** The number of windows that are closed and not acknowledged. */
  get unacknowledgedCount(): number {
    return this.#unacknowledged.size;
  }

  /**
   * Applies what a process has counted. Returns whether the window still was open.
   *
   * @param count - The counts of one process in one window.
   */
  applyCount({ process, window, counts }: UsageCount): boolean {
    if (window <= (this.#lastClosed ?? -Infinity)) {
      return false;
    }
    const processes = this.#open.get(window) ?? new Map();
    this.#open.set(window, processes.set(process, counts));
    return true;
  }

  /**
   * Applies the record that has closed a window. The first record of a window stands.
   *
   * @param closed - The result of the window.
   */
  applyClosing(closed: ClosedWindow): void {
    this.#setAcknowledged(closed.acknowledged);
    if (closed.window <= (this.#lastClosed ?? -Infinity)) {
      return;
    }
    this.#lastClosed = closed.window;
    [...this.#open.keys()]
      .filter((window) => window <= closed.window)
      .forEach((window) => this.#open.delete(window));
    if (closed.window > this.#acknowledged) {
      this.#unacknowledged.set(closed.window, closed);
    }
  }

  /**
   * Returns the result to append if a window can be closed now. Windows are closed
   * in order. The first window ever is the one in which this is first called.
   *
   * @param wallMs - The current time, in milliseconds since 1970.
   */
  decideClosing(wallMs: number): ClosedWindow | undefined {
    const { windowMs, closeDelayMs, maxUnacknowledged } = this.#options;
    this.#firstWindow ??= computeWindow(wallMs, windowMs);
    const window = this.#lastClosed === undefined
      ? this.#firstWindow
      : this.#lastClosed + 1;
    const isDue = wallMs >= (window + 1) * windowMs + closeDelayMs;
    if (!isDue || this.#unacknowledged.size >= maxUnacknowledged) {
      return undefined;
    }
    const acknowledged = this.#acknowledged === -Infinity
      ? this.#firstWindow - 1
      : this.#acknowledged;
    return { window, counts: this.#computeSums(window), acknowledged };
  }

  /** Returns the oldest closed window that is not acknowledged. */
  getNextReport(): ClosedWindow | undefined {
    return this.#unacknowledged.values().next().value;
  }

  /**
   * Records that the platform has acknowledged the report of a window.
   *
   * @param window - The window.
   */
  settleReport(window: number): void {
    this.#setAcknowledged(window);
  }

  #setAcknowledged(window: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, window);
    [...this.#unacknowledged.keys()]
      .filter((each) => each <= this.#acknowledged)
      .forEach((each) => this.#unacknowledged.delete(each));
  }

  #computeSums(window: number): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    for (const counts of this.#open.get(window)?.values() ?? []) {
      for (const [workspace, count] of counts) {
        sums.set(workspace, (sums.get(workspace) ?? 0) + count);
      }
    }
    return sums;
  }
}
