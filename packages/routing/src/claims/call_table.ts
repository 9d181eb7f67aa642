/**
 * Claimed calls of one host, with the responses it retains for repeats.
 * @module
 */
import type { Outcome } from "@briarhill/common/ids/ids";
import { initialTransition, type SnapshotFrom, transition } from "xstate";
import {
  CALL_MACHINE,
  type CallEvent,
  type CallState,
} from "./call_machine.ts";
import { CLAIM_LIFETIME_MS } from "./claim_ledger.ts";
import type { CallId } from "./claim_structure.ts";

const MAX_ANSWER_BYTES = 67_108_864;
const MAX_CALLS = 200_000;

/** A complete response, retained for repeats. */
export interface RetainedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A host's report on a call, for a repeat or for a peer. */
export type CallReport =
  | { readonly kind: "running" }
  | { readonly kind: "answered"; readonly answer: RetainedAnswer }
  | { readonly kind: "ended"; readonly outcome: Outcome };

interface CallEntry {
  snapshot: SnapshotFrom<typeof CALL_MACHINE>;
  answer: RetainedAnswer | undefined;
  readonly openedAtMs: number;
}

/** Claimed calls of one host, bounded in number, in response bytes and in age. */
export class CallTable {
  readonly #calls = new Map<CallId, CallEntry>();
  #answerBytes = 0;

  /**
   * Opens a call in state `claiming`.
   *
   * @param callId - The call.
   * @param nowMs - The current time.
   */
  open(callId: CallId, nowMs: number): void {
    const [snapshot] = initialTransition(CALL_MACHINE);
    this.#calls.set(callId, {
      snapshot,
      answer: undefined,
      openedAtMs: nowMs,
    });
    this.#prune(nowMs);
  }

  /**
   * Handles an event of a call and returns whether the call must be sent now.
   *
   * @param callId - The call.
   * @param event - The event.
   */
  handle(callId: CallId, event: CallEvent): boolean {
    const entry = this.#calls.get(callId);
    if (entry === undefined || entry.snapshot.status === "done") {
      return false;
    }
    const [snapshot, actions] = transition(CALL_MACHINE, entry.snapshot, event);
    entry.snapshot = snapshot;
    return actions.some(({ type }) => type === "send");
  }

  /**
   * Retains the response of a call, unless it exceeds the size limit.
   *
   * @param callId - The call.
   * @param answer - The complete response.
   */
  setAnswer(callId: CallId, answer: RetainedAnswer): void {
    const entry = this.#calls.get(callId);
    if (entry !== undefined && answer.body.length <= MAX_ANSWER_BYTES / 16) {
      entry.answer = answer;
      this.#answerBytes += answer.body.length;
      this.#pruneAnswers();
    }
  }

  /**
   * Returns the state of a call, or undefined if the call is unknown.
   *
   * @param callId - The call.
   */
  getState(callId: CallId): CallState | undefined {
    return this.#calls.get(callId)?.snapshot.value as CallState | undefined;
  }

  /**
   * Returns this host's report on a call. The outcome of a call that is not in
   * the table is unknown: an earlier process of the host may have run it.
   *
   * @param callId - The call.
   */
  getReport(callId: CallId): CallReport {
    const entry = this.#calls.get(callId);
    switch (this.getState(callId)) {
      case "claiming":
      case "running":
        return { kind: "running" };
      case "answered":
        return entry?.answer === undefined
          ? { kind: "ended", outcome: "ran" }
          : { kind: "answered", answer: entry.answer };
      case "lost":
      case "dead":
        return { kind: "ended", outcome: "not-run" };
      default:
        return { kind: "ended", outcome: "unknown" };
    }
  }

  #prune(nowMs: number): void {
    for (const [callId, entry] of this.#calls) {
      const isEvictable = nowMs - entry.openedAtMs > CLAIM_LIFETIME_MS ||
        this.#calls.size > MAX_CALLS;
      if (!isEvictable || entry.snapshot.status !== "done") {
        return;
      }
      this.#answerBytes -= entry.answer?.body.length ?? 0;
      this.#calls.delete(callId);
    }
  }

  #pruneAnswers(): void {
    for (const entry of this.#calls.values()) {
      if (this.#answerBytes <= MAX_ANSWER_BYTES) {
        return;
      }
      this.#answerBytes -= entry.answer?.body.length ?? 0;
      entry.answer = undefined;
    }
  }
}
