/**
 * Keeps the runners of closed lots for some seconds, so that the next lot takes
 * over the tasks of samples that come again.
 * @module
 */
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LotRunner } from "./lot_runner.ts";

/** How long the tasks of a closed lot are retained for reuse by the next lot, in milliseconds; a trainer submits its next step within a few seconds. */
const TASK_RETENTION_MS = 8_000;
/** How long attempts of a closed lot continue, in milliseconds; below the bound after which no call of a closed lot may reach an engine any more. */
const CLOSED_ATTEMPT_TIMEOUT_MS = 2_000;

/** The runner of a closed lot. */
export interface ClosedRunner {
  readonly runner: LotRunner;
  /** The workspace of its lot; undefined if it has none. */
  readonly workspace: string | undefined;
  /** When the lot was closed, on the monotonic clock. */
  readonly closedAtMs: number;
}

/** The runners of lots that were closed recently. */
export class ClosedRunners {
  #runners: readonly ClosedRunner[] = [];

  /** The number of runners. */
  get size(): number {
    return this.#runners.length;
  }

  /**
   * Adds the runner of a lot that has been closed.
   *
   * @param closed - The runner, its lot's workspace, and the current time.
   */
  addRunner(closed: ClosedRunner): void {
    this.#runners = [...this.#runners, closed];
  }

  /**
   * Returns a sample's task from the lot that was closed last, if several lots have
   * one, and ends its attempt there. No workspace gets the text of another one.
   *
   * @param sample - The sample's id.
   * @param workspace - The workspace of the lot that needs it; undefined if it has none.
   */
  takeTask(
    sample: string,
    workspace: string | undefined,
  ): SampleTask | undefined {
    for (const closed of this.#runners.toReversed()) {
      const task = closed.workspace === workspace
        ? closed.runner.takeTask(sample)
        : undefined;
      if (task !== undefined) {
        return task;
      }
    }
    return undefined;
  }

  /**
   * Stops attempts and drops runners whose time has passed.
   *
   * @param nowMs - The current time on the monotonic clock.
   */
  prune(nowMs: number): void {
    for (const { runner, closedAtMs } of this.#runners) {
      if (nowMs - closedAtMs > CLOSED_ATTEMPT_TIMEOUT_MS) {
        runner.stop();
      }
    }
    this.#runners = this.#runners.filter(({ closedAtMs }) =>
      nowMs - closedAtMs < TASK_RETENTION_MS
    );
  }

  /** Stops all attempts. */
  stop(): void {
    this.#runners.forEach(({ runner }) => runner.stop());
  }
}
