/**
 * The inputs of a lot owner, and the commands that it returns to its caller.
 * @module
 */
import type { SampleStructure } from "../samples/sample_structure.ts";
import type { StalenessContext } from "../staleness/staleness_rule.ts";
import type { CloseRecord, DeliveryRecord } from "./delivery_record.ts";

/** A request of a trainer for samples, starting at a position. */
export interface PullStructure {
  /** Identifies the pull on this host. */
  readonly id: string;
  /** The first position that the trainer does not hold. */
  readonly cursor: number;
  readonly limit: number;
}

/** A sample at its position. */
export interface DeliveredSample {
  readonly position: number;
  readonly sample: SampleStructure;
}

/** The reply to a pull. */
export interface PullAnswer {
  readonly samples: readonly DeliveredSample[];
  /** The cursor for the next pull. */
  readonly nextCursor: number;
  /** Whether the lot has no samples after these. */
  readonly isComplete: boolean;
  /** Why the lot was closed, or undefined while it is open. */
  readonly closed: CloseRecord["reason"] | undefined;
}

/** A sample to be generated, and the lowest attempt that may be used. */
export interface WantedSlot {
  readonly slot: number;
  readonly attempt: number;
  /** Whether its position is settled, so that it delays those after it. */
  readonly isUrgent?: boolean;
}

/** A command of a lot owner to its caller. */
export type OwnerCommand =
  /** Read the lot's stream to its end, then the announced versions. */
  | { readonly kind: "sync"; readonly from: number }
  | { readonly kind: "append"; readonly record: DeliveryRecord }
  | {
    readonly kind: "answer";
    readonly pull: PullStructure;
    readonly answer: PullAnswer;
  }
  /** The cursor is beyond the last settled position. */
  | {
    readonly kind: "reject";
    readonly pull: PullStructure;
    readonly settled: number;
  }
  | { readonly kind: "generate"; readonly slots: readonly WantedSlot[] }
  /** Another process owns the lot: forward the open pulls to it. */
  | { readonly kind: "lost"; readonly pulls: readonly PullStructure[] }
  | { readonly kind: "closed" };

/** The time and the versions that a decision is based on. */
export interface OwnerContext extends StalenessContext {
  /** The monotonic time. */
  readonly nowMs: number;
}

/** The progress of a lot. */
export interface LotProgress {
  readonly samples: number;
  /** Samples that are still to be generated. */
  readonly wanted: number;
  /** Finished samples in the owner's memory. */
  readonly held: number;
  readonly settled: number;
  /** The cursor of the last pull. */
  readonly cursor: number;
  /** Whether the last pull's cursor confirms receipt of all samples. */
  readonly isDelivered: boolean;
  /** Whether the last answer reached the end of the lot. */
  readonly isShownWhole: boolean;
}
