/**
 * Defines generations, and the commands that start and cancel them.
 * @module
 */
import type { CustomerId, LotId } from "@briarhill/common/ids/ids";

/** One generation of a sample. */
export interface GenerationStructure {
  /** The generation's id, unique on this host. */
  readonly id: string;
  readonly lot: LotId;
  readonly slot: number;
  readonly attempt: number;
  /** Number of existing tokens; the generation continues after them. */
  readonly fromToken: number;
  readonly expectedTokens: number;
  /**
   * The id of the generation that this one duplicates; this one must run on
   * another engine.
   */
  readonly duplicateOf: string | undefined;
}

/** A command of the scheduler. */
export type ScheduleCommand =
  | { readonly kind: "start"; readonly generation: GenerationStructure }
  | { readonly kind: "cancel"; readonly id: string };

/** The parts of a lot that the scheduler uses. */
export interface ScheduledLot {
  readonly id: LotId;
  readonly customer: CustomerId;
  /** The monotonic time at which the complete lot is due. */
  readonly dueMs: number;
  readonly samples: number;
  readonly samplesPerGroup: number;
  /** A key for the prompt of each group, in the order of the groups. */
  readonly prompts: readonly string[];
}
