/**
 * Options of the runner of a lot.
 * @module
 */
import type { LotOwner } from "@briarhill/rollout/delivery/lot_owner";
import type { WantedSlot } from "@briarhill/rollout/delivery/owner_command";
import type { Lot } from "@briarhill/rollout/lots/lot";
import type { StalenessRule } from "@briarhill/rollout/staleness/staleness_rule";
import type { NodeContext } from "../node/node_context.ts";
import type { WeightVersions } from "../weights/weight_versions.ts";
import type { LotLog } from "./lot_log.ts";
import type { RolloutMetrics } from "./rollout_metrics.ts";

/** Options of `LotRunner`. */
export interface LotRunnerOptions {
  readonly context: NodeContext;
  readonly log: LotLog;
  readonly weights: WeightVersions;
  readonly lot: Lot;
  readonly owner: LotOwner;
  readonly rule: StalenessRule;
  readonly metrics: RolloutMetrics;
  /** Called with the samples that have to be generated. */
  readonly onGenerate: (slots: readonly WantedSlot[]) => void;
  /** Called once the last sample was returned to the trainer. */
  readonly onDelivered: () => void;
  /** Called when this host no longer owns the lot. */
  readonly onEnd: (reason: "lost" | "closed") => void;
}
