/**
 * The options of a lot owner, and the record with which it claims its lot.
 * @module
 */
import type { Lot } from "../lots/lot.ts";
import type { SampleStructure } from "../samples/sample_structure.ts";
import type { StalenessRule } from "../staleness/staleness_rule.ts";
import type { DeliveryRecord, LotOwnerId } from "./delivery_record.ts";

/** Bodies retained for a trainer that restarts with an older cursor. */
export const DEFAULT_RETAINED_SAMPLES = 2048;

/** Options of LotOwner. */
export interface LotOwnerOptions {
  readonly lot: Lot;
  readonly self: LotOwnerId;
  readonly rule: StalenessRule;
  /** The hosts that hold a copy of the lot's prompts. */
  readonly keepers: readonly string[];
  /** The epoch that a takeover follows; undefined to open a new lot. */
  readonly takeAfter?: number | undefined;
  /** Bodies retained for a trainer that restarts with an older cursor. */
  readonly retainedSamples?: number;
  /** Finished samples that the previous owner handed over. */
  readonly adopted?: readonly SampleStructure[];
  /** How long a delivered lot is retained for a trainer that restarts. */
  readonly retainMs: number;
}

/**
 * Builds the record that claims a lot for a host.
 *
 * @example
 * ```ts
 * const record = buildClaim({ lot, self, rule, keepers: [], retainMs });
 * ```
 * @param options - The lot, the process and, in a takeover, the last epoch.
 */
export function buildClaim(options: LotOwnerOptions): DeliveryRecord {
  const { lot, self, keepers, takeAfter } = options;
  if (takeAfter !== undefined) {
    return { kind: "take", ...self, after: takeAfter };
  }
  return {
    kind: "open",
    ...self,
    customer: lot.structure.customer,
    digest: lot.digest,
    samples: lot.getSampleCount(),
    keepers,
  };
}
