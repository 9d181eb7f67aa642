/**
 * State machine of a claimed call. No path may send a call twice.
 * @module
 */
import type { Outcome } from "@briarhill/common/ids/ids";
import { setup } from "xstate";

/** Events of a claimed call. */
export type CallEvent =
  | { readonly type: "won" }
  | { readonly type: "lost" }
  | { readonly type: "repeated" }
  | { readonly type: "unsettled" }
  /** The service returned a response. */
  | { readonly type: "answered" }
  /** The only attempt to send the call failed. */
  | { readonly type: "broken"; readonly outcome: Outcome };

/** States of a claimed call. */
export type CallState =
  | "claiming"
  | "running"
  | "answered"
  | "unsure"
  | "lost"
  | "dead";

/**
 * State machine of a claimed call. The call is sent on entry to `running`,
 * which has exactly one incoming transition. `dead` is final: its host may
 * report that the call was not run and never will be.
 */
export const CALL_MACHINE = setup({
  types: { events: {} as CallEvent },
  actions: { send: () => undefined },
  guards: {
    isNotRun: ({ event }) =>
      event.type === "broken" && event.outcome === "not-run",
  },
}).createMachine({
  id: "call",
  initial: "claiming",
  states: {
    claiming: {
      on: {
        won: "running",
        lost: "lost",
        repeated: "lost",
        unsettled: "dead",
      },
    },
    running: {
      entry: "send",
      on: {
        answered: "answered",
        broken: [{ guard: "isNotRun", target: "dead" }, { target: "unsure" }],
      },
    },
    answered: { type: "final" },
    unsure: { type: "final" },
    lost: { type: "final" },
    dead: { type: "final" },
  },
});
