/**
 * The statechart of a request: queued, open, backing off, ended. A request that
 * is not idempotent must not be sent again once it may have run.
 * @module
 */
import type { EndpointId, Outcome } from "@briarhill/common/ids/ids";
import { assign, setup } from "xstate";
import {
  mergeOutcomes,
  type RequestCommand,
  type RequestEvent,
  type RequestInput,
} from "./request_command.ts";

const MAX_REDIALS = 2;
/** Limits the redials to an endpoint whose connections break after every chunk. */
const MAX_TOTAL_REDIALS = 8;

/** State of a request in the statechart. */
export interface RequestContext extends RequestInput {
  readonly attempts: number;
  /** Redials to the same endpoint since the last chunk. */
  readonly redials: number;
  readonly totalRedials: number;
  readonly endpoint: EndpointId;
  readonly outcome: Outcome;
  readonly offset: number;
}

type ActionArguments = {
  readonly context: RequestContext;
  readonly event: RequestEvent;
};

/** Returns whether the connection failed rather than the endpoint. */
function isConnectionFault({ event }: ActionArguments): boolean {
  return event.type === "broken" &&
    (event.fault === "silent" || event.fault === "reset" ||
      event.fault === "incomplete");
}

/** Returns whether the request can be sent again without running a non-idempotent request twice. */
function isRepeatable({ context, event }: ActionArguments): boolean {
  return event.type === "broken" &&
    (context.idempotent || event.outcome === "not-run");
}

/** Returns whether to redial the same endpoint; this resumes the same stream and is not a retry. */
function canRedial(args: ActionArguments): boolean {
  const { context } = args;
  return context.idempotent && isConnectionFault(args) &&
    context.redials < MAX_REDIALS &&
    context.totalRedials < MAX_TOTAL_REDIALS;
}

function canRetry(args: ActionArguments): boolean {
  const { context, event } = args;
  return event.type === "broken" && event.canRetry && isRepeatable(args) &&
    context.attempts < context.maxAttempts &&
    (event.offset === 0 || context.resume);
}

function buildDial({ context }: ActionArguments): RequestCommand {
  const { endpoint, offset } = context;
  return { kind: "dial", endpoint, fromToken: offset };
}

type FailureReason = "refused" | "broken" | "cancelled" | "late";

function buildFailure(
  reason: FailureReason,
): (args: ActionArguments) => RequestCommand {
  return ({ context }) => ({ kind: "fail", outcome: context.outcome, reason });
}

/** Builds a transition that ends a request without an attempt to cancel. */
function buildEndTransition(reason: FailureReason) {
  return {
    target: "ended",
    actions: { type: "command", params: buildFailure(reason) },
  } as const;
}

/** The statechart of a request; its `command` actions are the commands to execute. */
export const REQUEST_MACHINE = setup({
  types: {
    context: {} as RequestContext,
    events: {} as RequestEvent,
    input: {} as RequestInput,
  },
  actions: {
    command: (_, _command: RequestCommand) => undefined,
    setEndpoint: assign(({ context, event }) => ({
      endpoint: "endpoint" in event ? event.endpoint : context.endpoint,
      attempts: context.attempts + 1,
      redials: 0,
    })),
    setHedged: assign(({ context, event }) => ({
      endpoint: "endpoint" in event ? event.endpoint : context.endpoint,
    })),
    setStarted: assign({ redials: 0, outcome: "ran" as Outcome }),
    setBroken: assign(({ context, event }) =>
      event.type === "broken"
        ? {
          offset: event.offset,
          outcome: mergeOutcomes(context.outcome, event.outcome),
        }
        : {}
    ),
    addRedial: assign(({ context }) => ({
      redials: context.redials + 1,
      totalRedials: context.totalRedials + 1,
    })),
    // An abandoned dial may have reached the endpoint.
    setUnsure: assign(({ context }) => ({
      outcome: mergeOutcomes(context.outcome, "unknown"),
    })),
  },
  guards: { canRedial, canRetry },
}).createMachine({
  id: "request",
  initial: "queued",
  context: ({ input }) => ({
    ...input,
    attempts: 0,
    redials: 0,
    totalRedials: 0,
    endpoint: "",
    outcome: "not-run",
    offset: 0,
  }),
  states: {
    queued: {
      on: {
        admitted: {
          target: "open",
          actions: ["setEndpoint", { type: "command", params: buildDial }],
        },
        cancelled: buildEndTransition("cancelled"),
        late: buildEndTransition("late"),
        refused: buildEndTransition("refused"),
      },
    },
    open: {
      on: {
        chunk: { actions: "setStarted" },
        hedged: { actions: "setHedged" },
        finished: {
          target: "ended",
          actions: { type: "command", params: { kind: "finish" } },
        },
        broken: [
          {
            guard: "canRedial",
            actions: [
              "setBroken",
              "addRedial",
              { type: "command", params: buildDial },
            ],
          },
          {
            guard: "canRetry",
            target: "backingOff",
            actions: [
              "setBroken",
              { type: "command", params: buildBlame },
              { type: "command", params: buildBackoff },
            ],
          },
          {
            target: "ended",
            actions: [
              "setBroken",
              { type: "command", params: buildBlame },
              { type: "command", params: buildFailure("broken") },
            ],
          },
        ],
        cancelled: {
          target: "ended",
          actions: [
            "setUnsure",
            { type: "command", params: buildCancel },
            { type: "command", params: buildFailure("cancelled") },
          ],
        },
        late: {
          target: "ended",
          actions: [
            "setUnsure",
            { type: "command", params: buildCancel },
            { type: "command", params: buildFailure("late") },
          ],
        },
      },
    },
    backingOff: {
      on: {
        picked: {
          target: "open",
          actions: ["setEndpoint", { type: "command", params: buildDial }],
        },
        refused: buildEndTransition("broken"),
        cancelled: buildEndTransition("cancelled"),
        late: buildEndTransition("late"),
      },
    },
    ended: { type: "final" },
  },
});

function buildBlame({ context, event }: ActionArguments): RequestCommand {
  const isOverload = event.type === "broken" && event.fault === "rejected" &&
    event.outcome === "not-run";
  return { kind: "blame", endpoint: context.endpoint, isOverload };
}

function buildBackoff({ context }: ActionArguments): RequestCommand {
  return { kind: "backoff", attempt: context.attempts };
}

function buildCancel({ context }: ActionArguments): RequestCommand {
  return { kind: "cancel", endpoint: context.endpoint };
}
