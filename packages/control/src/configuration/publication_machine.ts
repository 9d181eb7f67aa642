/**
 * The statechart that publishes one change to the configuration log.
 *
 * An append whose response was lost is resolved by reading the log to its end.
 * The same record is appended again only if the log answers and the late-effect
 * window has elapsed without the record. Should both appends take effect after
 * all, the second is a duplicate of the first or conflicts with it, and changes
 * nothing.
 * @module
 */
import type { Outcome } from "@briarhill/common/ids/ids";
import { assign, setup } from "xstate";
import type { RecordVerdict } from "./configuration_fold.ts";

/** The maximum number of appends of one record. */
const MAX_APPENDS = 3;
/** An append may still take effect this long after its response was lost. */
export const LATE_EFFECT_WINDOW_MS = 10_000;

/** An event of a publication. */
export type PublicationEvent =
  | { readonly type: "appended"; readonly nowMs: number }
  | {
    readonly type: "appendFailed";
    readonly outcome: Outcome;
    readonly nowMs: number;
  }
  /** The log was read to its end; `own` is the published record's verdict. */
  | {
    readonly type: "read";
    readonly nowMs: number;
    readonly ownVerdict: RecordVerdict | undefined;
  }
  | { readonly type: "readFailed" }
  | { readonly type: "expired" };

/** The action that the caller has to take next. */
export type PublicationCommand = "append" | "readToEnd" | "pause";

interface PublicationContext {
  readonly appends: number;
  /** Whether an append has taken effect or may have done so. */
  readonly unresolved: boolean;
  /** When an append's response was lost; Infinity after a successful append. */
  readonly lostAtMs: number;
  readonly verdict: RecordVerdict | undefined;
}

// A constant, because xstate would call a context factory on each transition.
const INITIAL_CONTEXT: PublicationContext = {
  appends: 0,
  unresolved: false,
  lostAtMs: 0,
  verdict: undefined,
};

const machineSetup = setup({
  types: {
    context: {} as PublicationContext,
    events: {} as PublicationEvent,
  },
  actions: {
    append: () => {},
    readToEnd: () => {},
    pause: () => {},
    countAppend: assign(({ context }) => ({ appends: context.appends + 1 })),
    setUnresolved: assign(({ event }) => ({
      unresolved: true,
      lostAtMs: "nowMs" in event ? event.nowMs : 0,
    })),
    // The record is in the log: it is read until found, and not appended again.
    setAppended: assign({ unresolved: true, lostAtMs: Infinity }),
    setVerdict: assign(({ event }) => ({
      verdict: event.type === "read" ? event.ownVerdict : undefined,
    })),
  },
  guards: {
    isAccepted: ({ event }) =>
      event.type === "read" &&
      (event.ownVerdict?.verdict === "accepted" ||
        event.ownVerdict?.verdict === "duplicate"),
    isRejected: ({ event }) =>
      event.type === "read" && event.ownVerdict !== undefined,
    isNotRun: ({ event }) =>
      event.type === "appendFailed" && event.outcome === "not-run",
    isWindowElapsed: ({ context, event }) =>
      event.type === "read" &&
      event.nowMs - context.lostAtMs >= LATE_EFFECT_WINDOW_MS,
    isExhausted: ({ context }) =>
      context.appends >= MAX_APPENDS && !context.unresolved,
    isUnknown: ({ context, event }) =>
      context.appends >= MAX_APPENDS && context.unresolved &&
      event.type === "read" &&
      event.nowMs - context.lostAtMs >= LATE_EFFECT_WINDOW_MS,
    isAtLimit: ({ context }) => context.appends >= MAX_APPENDS,
    isUnresolved: ({ context }) => context.unresolved,
  },
});

/** The statechart of one publication; its actions are the caller's commands. */
export const PUBLICATION_MACHINE = machineSetup.createMachine({
  id: "publication",
  context: INITIAL_CONTEXT,
  initial: "appending",
  on: {
    expired: [
      { target: ".unknown", guard: "isUnresolved" },
      { target: ".notRun" },
    ],
  },
  states: {
    appending: {
      entry: ["countAppend", "append"],
      on: {
        appended: { target: "resolving", actions: "setAppended" },
        appendFailed: [
          { target: "paused", guard: "isNotRun" },
          { target: "resolving", actions: "setUnresolved" },
        ],
      },
    },
    paused: {
      entry: "pause",
      on: {
        read: [
          { target: "accepted", guard: "isAccepted", actions: "setVerdict" },
          { target: "rejected", guard: "isRejected", actions: "setVerdict" },
          { target: "notRun", guard: "isExhausted" },
          { target: "resolving", guard: "isAtLimit" },
          { target: "appending" },
        ],
        readFailed: { target: "paused", reenter: true },
      },
    },
    resolving: {
      entry: "readToEnd",
      on: {
        read: [
          { target: "accepted", guard: "isAccepted", actions: "setVerdict" },
          { target: "rejected", guard: "isRejected", actions: "setVerdict" },
          { target: "unknown", guard: "isUnknown" },
          { target: "appending", guard: "isWindowElapsed" },
          { target: "resolving", reenter: true },
        ],
        readFailed: { target: "resolving", reenter: true },
      },
    },
    accepted: { type: "final" },
    rejected: { type: "final" },
    unknown: { type: "final" },
    notRun: { type: "final" },
  },
});

/** The final state of a publication. */
export type PublicationOutcome =
  | "accepted"
  | "rejected"
  | "unknown"
  | "notRun";
