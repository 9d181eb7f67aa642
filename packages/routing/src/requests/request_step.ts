/**
 * Runs single transitions of the statechart of requests.
 * @module
 */
import {
  type AnyActorScope,
  createActor,
  type ExecutableActionObject,
  type SnapshotFrom,
} from "xstate";
import type { RequestEvent } from "./request_command.ts";
import { REQUEST_MACHINE } from "./request_machine.ts";

/** Snapshot of a request's statechart. */
export type RequestSnapshot = SnapshotFrom<typeof REQUEST_MACHINE>;

/** An actor that is never started; it is shared because creating one for each transition costs as much as the transition. */
const UNSTARTED_ACTOR = createActor(REQUEST_MACHINE, {
  input: { idempotent: true, resume: false, maxAttempts: 1 },
});

/**
 * Returns the next snapshot and the actions to execute, like the function
 * `transition` of xstate.
 *
 * @example
 * ```ts
 * const { snapshot, actions } = applyRequestEvent(current, { type: "late" });
 * ```
 * @param current - The current snapshot.
 * @param event - The event.
 */
export function applyRequestEvent(
  current: RequestSnapshot,
  event: RequestEvent,
): {
  readonly snapshot: RequestSnapshot;
  readonly actions: readonly ExecutableActionObject[];
} {
  const actions: ExecutableActionObject[] = [];
  const scope: AnyActorScope = {
    self: UNSTARTED_ACTOR,
    system: UNSTARTED_ACTOR.system,
    id: "",
    sessionId: "",
    logger: () => undefined,
    defer: () => undefined,
    emit: () => undefined,
    stopChild: () => undefined,
    actionExecutor: (action) => actions.push(action),
  };
  return {
    snapshot: REQUEST_MACHINE.transition(current, event, scope),
    actions,
  };
}
