/**
 * Counts the requests that endpoints began to run for each workspace, by window
 * of time.
 * @module
 */
import { PortError } from "@briarhill/common/errors/errors";
import type { Clock } from "@briarhill/common/time/clock";
import {
  computeWindow,
  type UsageCount,
} from "@briarhill/control/usage/usage_ledger";

/** Time for which a window is kept after its end, in windows; later starts are no longer reported. */
const KEPT_WINDOWS = 8;

/** Options of a {@link UsageMeter}. */
export interface UsageMeterOptions {
  readonly clock: Clock;
  /** The id of this process. */
  readonly processId: string;
  /** Duration of a window, in milliseconds; undefined if nothing is counted. */
  readonly windowMs: number | undefined;
}

/** Counts the requests that endpoints began to run. */
export class UsageMeter {
  readonly #options: UsageMeterOptions;
  readonly #windows = new Map<number, Map<string, number>>();
  readonly #changed = new Set<number>();

  constructor(options: UsageMeterOptions) {
    this.#options = options;
  }

  /**
   * Counts a request that an endpoint began to run.
   *
   * @param workspace - The workspace of the request; undefined for a request without one, which isn't counted.
   * @param wallMs - When the endpoint began, in milliseconds since 1970.
   */
  addStart(workspace: string | undefined, wallMs: number): void {
    const { windowMs } = this.#options;
    if (workspace === undefined || windowMs === undefined) {
      return;
    }
    const window = computeWindow(wallMs, windowMs);
    const counts = this.#windows.get(window) ?? new Map<string, number>();
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this.#windows.set(window, counts);
    this.#changed.add(window);
  }

  /**
   * Sends an attempt, and counts it unless the endpoint is certain not to have run
   * it. An attempt whose outcome is unknown counts: the endpoint had it.
   *
   * @param workspace - The workspace of the request.
   * @param attempt - Sends the attempt, and returns whether the endpoint refused it.
   */
  async measureAttempt<T>(
    workspace: string | undefined,
    { send, isRefused }: {
      readonly send: () => Promise<T>;
      readonly isRefused: (result: T) => boolean;
    },
  ): Promise<T> {
    const startedAtMs = this.#options.clock.getWallMs();
    try {
      const result = await send();
      if (!isRefused(result)) {
        this.addStart(workspace, startedAtMs);
      }
      return result;
    } catch (error) {
      if (error instanceof PortError && error.outcome !== "not-run") {
        this.addStart(workspace, startedAtMs);
      }
      throw error;
    }
  }

  /**
   * Returns the counts that have changed of the windows that ended some time ago;
   * a later call returns those that have changed since.
   *
   * @param delayMs - The time since the end of a window, in milliseconds.
   */
  takeChanged(delayMs: number): readonly UsageCount[] {
    const { clock, processId, windowMs = Infinity } = this.#options;
    const current = computeWindow(clock.getWallMs() - delayMs, windowMs);
    const due = [...this.#changed].filter((window) => window < current);
    due.forEach((window) => this.#changed.delete(window));
    const taken = due.map((window) => ({
      process: processId,
      window,
      counts: new Map(this.#windows.get(window)),
    }));
    [...this.#windows.keys()]
      .filter((window) => window < current - KEPT_WINDOWS)
      .forEach((window) => this.#windows.delete(window));
    return taken;
  }

  /**
   * Marks windows as changed again, as their counts were not written.
   *
   * @param counts - The counts that were taken.
   */
  setChanged(counts: readonly UsageCount[]): void {
    counts.filter(({ window }) => this.#windows.has(window))
      .forEach(({ window }) => this.#changed.add(window));
  }
}
