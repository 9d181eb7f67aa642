/**
 * State machine of a node's graceful shutdown. Each stage ends when its steps
 * have completed or its time budget is used up, so that a log or a peer that
 * does not answer cannot block the later stages.
 * @module
 */
import { assign, initialTransition, setup, transition } from "xstate";

/** The stages of a graceful shutdown, in the order in which they run. */
export type StopStage = "hand-over" | "finish-calls" | "release";

/** An input of the state machine; times are monotonic. */
export type StopEvent =
  | { readonly type: "stop"; readonly nowMs: number; readonly boundMs: number }
  | {
    readonly type: "ended";
    readonly nowMs: number;
    readonly isComplete: boolean;
  };

/** The stage that the node has to run. */
export interface StopCommand {
  readonly stage: StopStage;
  /** The node does not wait for steps that run longer than this. */
  readonly budgetMs: number;
}

interface StopContext {
  readonly endMs: number;
  readonly incompleteStages: readonly StopStage[];
}

/** The hand-over gets this share of the time bound; the calls get the remainder, less the share for the release. */
const HAND_OVER_SHARE = 0.25;
const RELEASE_SHARE = 0.1;

const INITIAL_CONTEXT: StopContext = { endMs: 0, incompleteStages: [] };

const machineSetup = setup({
  types: {
    context: {} as StopContext,
    events: {} as StopEvent,
  },
  actions: {
    setEnd: assign(({ event }) =>
      event.type === "stop" ? { endMs: event.nowMs + event.boundMs } : {}
    ),
    addIncompleteStage: assign((
      { context, event },
      params: { stage: StopStage },
    ) =>
      event.type === "ended" && !event.isComplete
        ? { incompleteStages: [...context.incompleteStages, params.stage] }
        : {}
    ),
  },
});

function createStage(stage: StopStage, target: string) {
  const addIncompleteStage = {
    type: "addIncompleteStage",
    params: { stage },
  } as const;
  return { on: { ended: { target, actions: [addIncompleteStage] } } } as const;
}

const machine = machineSetup.createMachine({
  id: "stop",
  context: INITIAL_CONTEXT,
  initial: "running",
  states: {
    running: { on: { stop: { target: "hand-over", actions: ["setEnd"] } } },
    "hand-over": createStage("hand-over", "finish-calls"),
    "finish-calls": createStage("finish-calls", "release"),
    release: createStage("release", "stopped"),
    stopped: { type: "final" },
  },
});

/** The state of a shutdown. */
export type StopState = ReturnType<typeof createStopState>;

/**
 * Creates the state of a running node, before any shutdown.
 *
 * @example
 * ```ts
 * let state = createStopState();
 * ```
 */
// deno-lint-ignore explicit-module-boundary-types
export function createStopState() {
  return initialTransition(machine)[0];
}

/**
 * Applies an event and returns the next state. A second `stop` has no effect.
 *
 * @example
 * ```ts
 * state = advanceStop(state, { type: "stop", nowMs: 0, boundMs: 30_000 });
 * ```
 * @param state - The state of the shutdown.
 * @param event - The event to apply.
 */
export function advanceStop(state: StopState, event: StopEvent): StopState {
  return transition(machine, state, event)[0];
}

/**
 * Returns the stage that the node has to run and its time budget, or undefined
 * before the shutdown and after its last stage.
 *
 * @example
 * ```ts
 * const command = getStopCommand(state, nowMs);
 * ```
 * @param state - The state of the shutdown.
 * @param nowMs - The current monotonic time, in milliseconds.
 */
export function getStopCommand(
  state: StopState,
  nowMs: number,
): StopCommand | undefined {
  const remainingMs = Math.max(0, state.context.endMs - nowMs);
  switch (state.value) {
    case "hand-over":
      return { stage: "hand-over", budgetMs: remainingMs * HAND_OVER_SHARE };
    case "finish-calls":
      return {
        stage: "finish-calls",
        budgetMs: remainingMs * (1 - RELEASE_SHARE),
      };
    case "release":
      return { stage: "release", budgetMs: remainingMs };
    default:
      return undefined;
  }
}

/**
 * Returns the stages that ended before all of their steps had completed.
 *
 * @example
 * ```ts
 * const isComplete = listIncompleteStages(state).length === 0;
 * ```
 * @param state - The state of the shutdown.
 */
export function listIncompleteStages(state: StopState): readonly StopStage[] {
  return state.context.incompleteStages;
}
