/**
 * The lifecycle of a node as its components use it: whether new work is accepted,
 * and which steps a graceful shutdown runs.
 * @module
 */

/**
 * A step of a graceful shutdown; it receives the time left for it and resolves
 * when it is complete.
 */
export type DrainStep = (remainingMs: number) => Promise<void>;

/** The reason why a node accepts no new work. */
export type ClosedReason =
  | "not-started"
  | "drained"
  | "superseded"
  | "stopping";

/** Reports whether the node accepts new work, and collects the steps of its graceful shutdown. */
export abstract class Lifecycle {
  /** Returns whether the node accepts new work from callers and trainers. */
  abstract isAccepting(): boolean;

  /** Returns the reason why the node accepts no new work; undefined while it accepts work. */
  abstract getClosedReason(): ClosedReason | undefined;

  /**
   * Adds a step that a graceful shutdown waits for. Stages run in order; the steps
   * of one stage run concurrently.
   *
   * @param stage - The stage in which the step runs.
   * @param step - The step to run.
   */
  abstract addDrainStep(stage: DrainStage, step: DrainStep): void;
}

/** The stages of a graceful shutdown, in order. */
export type DrainStage = "hand-over" | "finish-calls" | "release";
