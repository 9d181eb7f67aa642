/**
 * The statechart of one lease on one host. A host claims a lease only if it is
 * free or the term of any other possible holder is over, and measures its own
 * term from before its record was sent.
 * @module
 */
import { and, assign, not, setup } from "xstate";
import {
  type HostIncarnation,
  isSameIncarnation,
  type LeaseEntry,
} from "./lease_table.ts";
import {
  computeElapsedMs,
  isTermExpired,
  LEASE_RENEWAL_INTERVAL_MS,
  LEASE_TERM_MS,
  LEASE_WAIT_MS,
  type LeaseTime,
} from "./lease_time.ts";

/** A renewal that has not appeared in the log is retried after this long. */
const RENEWAL_RETRY_MS = 2_000;

/**
 * Minimum age of a lease for an early renewal, which is batched into the record
 * that its host appends for another lease.
 */
const BATCH_RENEWAL_AGE_MS = 2_500;

/** An event of a lease; each carries the host's time. */
export type LeaseEvent =
  | {
    readonly type: "seek";
    readonly now: LeaseTime;
    readonly self: HostIncarnation;
  }
  | { readonly type: "release"; readonly now: LeaseTime }
  /** A record of the lease was applied, or the view of the stream was reset. */
  | {
    readonly type: "entry";
    readonly now: LeaseTime;
    readonly entry: LeaseEntry | undefined;
    /** When the record was sent that made this host the holder, if it is. */
    readonly sentAt: LeaseTime | undefined;
  }
  | {
    readonly type: "tick";
    readonly now: LeaseTime;
    /** A random delay that prevents simultaneous claims of several hosts. */
    readonly jitterMs: number;
  }
  | { readonly type: "refused"; readonly now: LeaseTime }
  /** The host is about to append a record for another of its leases. */
  | { readonly type: "batch"; readonly now: LeaseTime };

/** The kind of claim that the caller has to append. */
export type LeaseCommand = "claim" | "renew" | "release";

/** The context of a lease's statechart. */
export interface LeaseContext {
  readonly self: HostIncarnation;
  readonly entry: LeaseEntry | undefined;
  /** When the last valid record was observed, by the monotonic clock. */
  readonly observedAtMs: number;
  /** When this host sent its newest valid record. */
  readonly sentAt: LeaseTime | undefined;
  /** When the last claim or renewal was requested. */
  readonly requestedAt: LeaseTime;
  /** The monotonic time before which no claim is made. */
  readonly claimAtMs: number | undefined;
}

// A constant, because xstate would call a context factory on each transition.
const INITIAL_CONTEXT: LeaseContext = {
  self: { host: "", epoch: 0 },
  entry: undefined,
  observedAtMs: 0,
  sentAt: undefined,
  requestedAt: { monotonicMs: 0, wallMs: 0 },
  claimAtMs: undefined,
};

const machineSetup = setup({
  types: {
    context: {} as LeaseContext,
    events: {} as LeaseEvent,
  },
  actions: {
    setSelf: assign(({ event }) =>
      event.type === "seek"
        ? {
          self: event.self,
          observedAtMs: event.now.monotonicMs,
          requestedAt: event.now,
        }
        : {}
    ),
    claim: () => {},
    renew: () => {},
    release: () => {},
    setEntry: assign(({ context, event }) =>
      event.type === "entry" ? applyEntry(context, event) : {}
    ),
    setRequested: assign(({ event }) => ({ requestedAt: event.now })),
    setClaimTime: assign(({ context, event }) => ({
      claimAtMs: event.type === "tick"
        ? context.claimAtMs ?? event.now.monotonicMs + event.jitterMs
        : undefined,
    })),
    clearClaimTime: assign({ claimAtMs: undefined }),
  },
  guards: {
    isHeldLocally: ({ context, event }) =>
      event.type === "entry" && event.sentAt !== undefined &&
      isSameIncarnation(event.entry?.holder, context.self) &&
      !isTermExpired(event.sentAt, event.now),
    isHeldByOther: ({ context, event }) =>
      event.type === "entry" &&
      !isSameIncarnation(event.entry?.holder, context.self),
    isExpired: ({ context, event }) =>
      context.sentAt === undefined || isTermExpired(context.sentAt, event.now),
    isClaimable: ({ context, event }) =>
      event.now.monotonicMs >= getClaimableAtMs(context),
    isClaimDue: ({ context, event }) =>
      context.claimAtMs !== undefined &&
      event.now.monotonicMs >= context.claimAtMs,
    isRenewalDue: ({ context, event }) =>
      context.sentAt !== undefined &&
      computeElapsedMs(context.sentAt, event.now) >=
        LEASE_RENEWAL_INTERVAL_MS &&
      computeElapsedMs(context.requestedAt, event.now) >= RENEWAL_RETRY_MS,
    isBatchRenewalDue: ({ context, event }) =>
      context.sentAt !== undefined &&
      computeElapsedMs(context.sentAt, event.now) >= BATCH_RENEWAL_AGE_MS &&
      computeElapsedMs(context.requestedAt, event.now) >= BATCH_RENEWAL_AGE_MS,
    isClaimExpired: ({ context, event }) =>
      computeElapsedMs(context.requestedAt, event.now) >= LEASE_TERM_MS,
  },
});

/** The statechart of one lease; its actions are the caller's commands. */
export const LEASE_MACHINE = machineSetup.createMachine({
  id: "lease",
  context: INITIAL_CONTEXT,
  initial: "unsought",
  states: {
    unsought: {
      on: { seek: { target: "following", actions: "setSelf" } },
    },
    following: {
      entry: "clearClaimTime",
      on: {
        release: "unsought",
        entry: [
          { target: "holding", guard: "isHeldLocally", actions: "setEntry" },
          { target: "following", reenter: true, actions: "setEntry" },
        ],
        tick: [
          {
            target: "claiming",
            guard: and(["isClaimable", "isClaimDue"]),
            actions: ["setRequested", "claim"],
          },
          { guard: "isClaimable", actions: "setClaimTime" },
        ],
      },
    },
    claiming: {
      on: {
        release: "unsought",
        refused: "following",
        entry: [
          { target: "holding", guard: "isHeldLocally", actions: "setEntry" },
          { target: "following", actions: "setEntry" },
        ],
        tick: { target: "following", guard: "isClaimExpired" },
      },
    },
    holding: {
      on: {
        release: [
          { target: "unsought", guard: "isExpired" },
          { target: "unsought", actions: "release" },
        ],
        entry: [
          { guard: "isHeldLocally", actions: "setEntry" },
          { target: "following", guard: "isHeldByOther", actions: "setEntry" },
          { actions: "setEntry" },
        ],
        batch: {
          guard: and([not("isExpired"), "isBatchRenewalDue"]),
          actions: ["setRequested", "renew"],
        },
        tick: [
          { target: "following", guard: "isExpired" },
          {
            guard: and([not("isExpired"), "isRenewalDue"]),
            actions: ["setRequested", "renew"],
          },
        ],
      },
    },
  },
});

type EntryEvent = Extract<LeaseEvent, { readonly type: "entry" }>;

function applyEntry(
  context: LeaseContext,
  event: EntryEvent,
): Partial<LeaseContext> {
  const { entry, now, sentAt } = event;
  const isConfirmed = entry === undefined || entry.state === "uncertain" ||
    entry.validOffset !== context.entry?.validOffset;
  return {
    entry,
    observedAtMs: isConfirmed ? now.monotonicMs : context.observedAtMs,
    sentAt: isSameIncarnation(entry?.holder, context.self)
      ? sentAt ?? context.sentAt
      : undefined,
  };
}

/** A claimant waits until the term of any other possible holder is over. */
function getClaimableAtMs(context: LeaseContext): number {
  const { entry, self, observedAtMs } = context;
  // An uncertain record of another host may be that of the current holder.
  const isLocal = isSameIncarnation(entry?.holder, self) ||
    (entry?.state === "uncertain" && entry.last === entry.validOffset &&
      isSameIncarnation(entry.lastWriter, self));
  return entry?.state === "free" || isLocal
    ? -Infinity
    : observedAtMs + LEASE_WAIT_MS;
}
