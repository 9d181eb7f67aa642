/**
 * The lifecycle of one node: not started, accepting work, draining, stopped. A
 * stage of the shutdown that exceeds its time budget must not block the next one.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import {
  advanceStop,
  createStopState,
  getStopCommand,
  listIncompleteStages,
  type StopCommand,
} from "@briarhill/control/drain/stop_machine";
import {
  type ClosedReason,
  type DrainStage,
  type DrainStep,
  Lifecycle,
} from "./lifecycle.ts";

/** The lifecycle of one node. */
export class NodeLifecycle extends Lifecycle {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #steps = new Map<DrainStage, DrainStep[]>();
  #state = createStopState();
  /**
   * Unlike a drain, which operators can undo by a declaration, these reasons
   * depend on the process only.
   */
  #closedReason: ClosedReason | undefined = "not-started";
  #isDrained: () => boolean = () => false;

  constructor(clock: Clock, logger: Logger) {
    super();
    this.#clock = clock;
    this.#logger = logger;
  }

  override isAccepting(): boolean {
    return this.getClosedReason() === undefined;
  }

  override getClosedReason(): ClosedReason | undefined {
    return this.#closedReason ?? (this.#isDrained() ? "drained" : undefined);
  }

  override addDrainStep(stage: DrainStage, step: DrainStep): void {
    this.#steps.set(stage, [...this.#steps.get(stage) ?? [], step]);
  }

  /** Makes the node accept work from now on, unless it is superseded or stopping. */
  setAccepting(): void {
    if (this.#closedReason === "not-started") {
      this.#closedReason = undefined;
    }
  }

  /** Marks the node as permanently replaced by a later process of this host. */
  setSuperseded(): void {
    this.#closedReason = this.#closedReason === "stopping"
      ? "stopping"
      : "superseded";
  }

  /**
   * Sets the rule that decides whether operators drain this host.
   *
   * @param isDrained - Evaluated on each check of whether work is accepted.
   */
  setDrainRule(isDrained: () => boolean): void {
    this.#isDrained = isDrained;
  }

  /**
   * Stops accepting work and runs the steps of all stages; a second call does
   * nothing.
   *
   * @param boundMs - The timeout of the shutdown in milliseconds.
   */
  async runDrain(boundMs: number): Promise<void> {
    if (getStopCommand(this.#state, 0) !== undefined) {
      return;
    }
    this.#closedReason = "stopping";
    let nowMs = this.#clock.getMonotonicMs();
    this.#state = advanceStop(this.#state, { type: "stop", nowMs, boundMs });
    for (
      let command = getStopCommand(this.#state, nowMs);
      command !== undefined;
      command = getStopCommand(this.#state, nowMs)
    ) {
      const isComplete = await this.#runStage(command);
      nowMs = this.#clock.getMonotonicMs();
      this.#state = advanceStop(this.#state, {
        type: "ended",
        nowMs,
        isComplete,
      });
    }
    this.#logger.info("drain-ended", {
      cutStages: listIncompleteStages(this.#state).join(","),
    });
  }

  async #runStage(command: StopCommand): Promise<boolean> {
    const { stage, budgetMs } = command;
    const steps = this.#steps.get(stage) ?? [];
    const timer = new AbortController();
    const finished = Promise.allSettled(steps.map((step) => step(budgetMs)));
    const isComplete = await Promise.race([
      finished.then(() => true),
      this.#clock.sleep(budgetMs, timer.signal).then(() => false),
    ]);
    timer.abort();
    this.#logger.info("drain-stage-ended", { stage, isWhole: isComplete });
    return isComplete;
  }
}
