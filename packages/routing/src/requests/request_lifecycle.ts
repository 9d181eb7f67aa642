/**
 * Runs the lifecycle of a request on its statechart.
 * @module
 */
import { initialTransition } from "xstate";
import type {
  RequestCommand,
  RequestEvent,
  RequestInput,
} from "./request_command.ts";
import { REQUEST_MACHINE } from "./request_machine.ts";
import { applyRequestEvent, type RequestSnapshot } from "./request_step.ts";

/** Initial snapshots by input; snapshots are immutable, so requests with equal input share one. */
const INITIAL_SNAPSHOTS = new Map<string, RequestSnapshot>();

/** The lifecycle of one request, which maps events to commands. */
export class RequestLifecycle {
  #snapshot: RequestSnapshot;

  constructor(input: RequestInput) {
    this.#snapshot = getInitialSnapshot(input);
  }

  /** Returns whether the request has its final outcome. */
  isEnded(): boolean {
    return this.#snapshot.status === "done";
  }

  /**
   * Handles an event and returns the commands to execute. Events after the end
   * of the request are ignored.
   *
   * @param event - The event.
   */
  handle(event: RequestEvent): readonly RequestCommand[] {
    if (this.isEnded()) {
      return [];
    }
    const { snapshot, actions } = applyRequestEvent(this.#snapshot, event);
    this.#snapshot = snapshot;
    return actions
      .filter(({ type }) => type === "command")
      .map(({ params }) => params as RequestCommand);
  }
}

function getInitialSnapshot(input: RequestInput): RequestSnapshot {
  const { idempotent, resume, maxAttempts } = input;
  const key = `${idempotent} ${resume} ${maxAttempts}`;
  const cached = INITIAL_SNAPSHOTS.get(key);
  const snapshot = cached ?? initialTransition(REQUEST_MACHINE, input)[0];
  INITIAL_SNAPSHOTS.set(key, snapshot);
  return snapshot;
}
