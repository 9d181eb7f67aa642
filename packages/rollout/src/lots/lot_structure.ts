/**
 * Defines the plain form of a lot, as a trainer submits it.
 * @module
 */
import type { CustomerId, LotId, ModelName } from "@briarhill/common/ids/ids";

/** The samples that a trainer requests for one step. */
export interface LotStructure {
  readonly id: LotId;
  readonly customer: CustomerId;
  readonly model: ModelName;
  /** The training step that the samples are for. */
  readonly step: number;
  readonly groups: readonly GroupStructure[];
  readonly samplesPerGroup: number;
  readonly sampling: LotSampling;
  /** Time from the submission until the complete lot is due, in milliseconds. */
  readonly deadlineMs: number;
  readonly adapter?: string;
}

/** One prompt of a lot; each group gets the same number of samples. */
export interface GroupStructure {
  readonly id: string;
  readonly prompt: string;
}

/** The sampling parameters of a lot. */
export interface LotSampling {
  readonly temperature: number;
  readonly topP: number;
  readonly maxTokens: number;
  readonly seed?: number;
  readonly stop?: readonly string[];
}

/**
 * One sample to generate: its number in the lot, its group, and its index in
 * the group.
 */
export interface SlotStructure {
  /** The number of the sample within the lot, from 0. */
  readonly slot: number;
  readonly group: GroupStructure;
  readonly indexInGroup: number;
}
