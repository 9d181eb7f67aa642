/**
 * Checks all running generations for deadlines, receive timeouts and engine
 * speed. One timer serves all generations; none may be set per chunk.
 * @module
 */
import type { RequestClass } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";

const CHECK_INTERVAL_MS = 200;
const UNPACED_RUNS = 16;
const PACE_MS_PER_RUN = 0.5;
/** Training may be paced this much, as no user reads its tokens while they arrive. */
const MAX_ROLLOUT_PACE_MS = 200;

/** A generation that is checked at intervals. */
export interface MonitoredRun {
  /** Checks deadlines and timeouts as of the given time. */
  check(nowMs: number): void;
}

/** Checks all running generations at intervals, with a single timer. */
export class RunMonitor {
  readonly #clock: Clock;
  readonly #runs = new Set<MonitoredRun>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a generation.
   *
   * @param run - The generation.
   */
  add(run: MonitoredRun): void {
    this.#runs.add(run);
  }

  /**
   * Removes a generation.
   *
   * @param run - The generation.
   */
  remove(run: MonitoredRun): void {
    this.#runs.delete(run);
  }

  /**
   * Returns the delay before the next read of a stream. Chunks of training
   * accumulate during it; chunks of live calls are delayed only by the pacing of
   * their connections' reads.
   *
   * @param requestClass - The class of the stream.
   */
  getPaceMs(requestClass: RequestClass): number {
    if (requestClass !== "rollout") {
      return 0;
    }
    const paceMs = (this.#runs.size - UNPACED_RUNS) * PACE_MS_PER_RUN;
    return Math.max(0, Math.min(MAX_ROLLOUT_PACE_MS, paceMs));
  }

  /**
   * Checks all generations at intervals until the signal aborts.
   *
   * @param signal - Stops the checks.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(CHECK_INTERVAL_MS, signal);
      const nowMs = this.#clock.getMonotonicMs();
      this.#runs.forEach((run) => run.check(nowMs));
    }
  }
}
