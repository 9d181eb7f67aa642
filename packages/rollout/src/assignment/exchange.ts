/**
 * The messages between a lot owner and a member that executes sample attempts
 * for it. Delivery may fail or repeat: a request is resent until it is
 * confirmed, and an end until it is acknowledged.
 * @module
 */
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";

/** An attempt at a sample; its number is unique within the owner's process. */
export interface AssignedAttempt<Work> {
  readonly number: number;
  readonly work: Work;
}

/** How an attempt ended. */
export interface EndedAttempt<End> {
  readonly number: number;
  readonly end: End;
}

/** An attempt whose text is complete but not yet scored. */
export interface GeneratedAttempt {
  readonly number: number;
  readonly tokens: number;
}

/** A request to a member; the next one repeats what a lost one held. */
export interface ExchangeRequest<Work> {
  /** Increases with each request; a member ignores one that is not newer. */
  readonly sequence: number;
  /** The member process that the attempts are meant for. */
  readonly incarnation: Incarnation;
  readonly runs: readonly AssignedAttempt<Work>[];
  readonly cancels: readonly number[];
  /** Ended attempts that the owner acknowledges; the member deletes them. */
  readonly taken: readonly number[];
}

/** The reply of a member to an owner. */
export interface ExchangeReply<End> {
  /** Whether the request took effect; the owner resends one that did not. */
  readonly isAccepted: boolean;
  /** The member process that replies. */
  readonly incarnation: Incarnation;
  /** Increases when the member has discarded the owner's attempts. */
  readonly session: number;
  /** Ended attempts that the owner has not acknowledged. */
  readonly ends: readonly EndedAttempt<End>[];
  readonly generated: readonly GeneratedAttempt[];
}

/** A host that may be assigned attempts. */
export interface AssignableMember {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Whether it may be assigned new attempts; running ones continue. */
  readonly isUsable: boolean;
}

/** A change to an open attempt, as reported to the owner. */
export type AttemptOutcome<End> =
  | { readonly kind: "generated"; readonly number: number; tokens: number }
  | {
    readonly kind: "ended";
    readonly number: number;
    readonly end: End;
    readonly host: HostId;
  }
  /** The member died or stopped replying: the sample needs another attempt. */
  | { readonly kind: "withdrawn"; readonly number: number };
