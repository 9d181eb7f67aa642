/**
 * The lifecycle of a lot on one host, as a statechart. Only the log changes its
 * state.
 * @module
 */
import { createMachine, initialTransition, transition } from "xstate";
import type { DeliveryLedger } from "./delivery_ledger.ts";
import type { LotOwnerId } from "./delivery_record.ts";

/** The phase of a lot on this host. */
export type LotPhase = "seeking" | "owning" | "lost" | "closed";

type LotEvent =
  | { readonly type: "OWNED" }
  | { readonly type: "LOST" }
  | { readonly type: "CLOSED" };

const LOT_MACHINE = createMachine({
  types: {} as { events: LotEvent },
  id: "lot",
  initial: "seeking",
  states: {
    seeking: { on: { OWNED: "owning", LOST: "lost", CLOSED: "closed" } },
    owning: { on: { LOST: "lost", CLOSED: "closed" } },
    lost: { type: "final" },
    closed: { type: "final" },
  },
});

/** How a process claims a lot. */
export interface LotClaim {
  readonly self: LotOwnerId;
  /** The epoch that a takeover follows; undefined to open a new lot. */
  readonly takeAfter?: number | undefined;
}

/** Tracks the phase of a lot from the records of the log. */
export class LotLifecycle {
  #snapshot = initialTransition(LOT_MACHINE)[0];

  /** Returns the phase of the lot on this host. */
  getPhase(): LotPhase {
    return this.#snapshot.value as LotPhase;
  }

  /**
   * Advances to the phase that follows from a ledger read to the end of the
   * stream.
   *
   * @param ledger - The lot's ledger.
   * @param claim - This process, and the epoch that its takeover follows.
   */
  advance(
    ledger: DeliveryLedger,
    claim: LotClaim,
  ): LotPhase {
    const event = this.#getEvent(ledger, claim);
    if (event !== undefined && this.#snapshot.status === "active") {
      this.#snapshot = transition(LOT_MACHINE, this.#snapshot, event)[0];
    }
    return this.getPhase();
  }

  #getEvent(
    ledger: DeliveryLedger,
    claim: LotClaim,
  ): LotEvent | undefined {
    if (ledger.getCloseReason() !== undefined) {
      return { type: "CLOSED" };
    }
    if (ledger.getOpenRecord() === undefined) {
      return undefined;
    }
    if (ledger.isOwner(claim.self)) {
      return { type: "OWNED" };
    }
    const isClaimPending = this.getPhase() === "seeking" &&
      claim.takeAfter === ledger.getEpoch();
    return isClaimPending ? undefined : { type: "LOST" };
  }
}
