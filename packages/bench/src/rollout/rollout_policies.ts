/**
 * Defines the policies that the rollout bench compares.
 * @module
 */
import { FifoLotOrder } from "@briarhill/rollout/scheduling/fifo_lot_order";
import { InputSampleOrder } from "@briarhill/rollout/scheduling/input_sample_order";
import { LeastSlackLotOrder } from "@briarhill/rollout/scheduling/least_slack_lot_order";
import { LongestFirstOrder } from "@briarhill/rollout/scheduling/longest_first_order";
import { NoDuplicates } from "@briarhill/rollout/scheduling/no_duplicates";
import { TailDuplicates } from "@briarhill/rollout/scheduling/tail_duplicates";
import type { RunPolicies } from "./run_options.ts";

const TOKENS_PER_MS = 3;

/** FIFO lots on engines in round robin; a lot starts when the previous one ended. */
export const BASELINE: RunPolicies = {
  lotOrder: new FifoLotOrder(),
  sampleOrder: new InputSampleOrder(),
  duplicates: new NoDuplicates(),
  resumes: false,
  picking: "round-robin",
  runsAhead: false,
  cancelsEarly: false,
};

/** The policies of the service: those that a measured figure supports. */
export const CHOSEN: RunPolicies = {
  ...BASELINE,
  sampleOrder: new LongestFirstOrder(),
  duplicates: new TailDuplicates(),
  resumes: true,
  picking: "least-running",
  runsAhead: true,
  cancelsEarly: true,
};

/** A change of policy on top of the preceding ones. */
export interface PolicyStep {
  readonly name: string;
  readonly change: Partial<RunPolicies>;
}

/** The changes from the baseline, in the order in which they are applied. */
export const POLICY_STEPS: readonly PolicyStep[] = [
  { name: "run-ahead", change: { runsAhead: true } },
  { name: "cancel-early", change: { cancelsEarly: true } },
  { name: "least-running", change: { picking: "least-running" } },
  {
    name: "longest-first",
    change: { sampleOrder: new LongestFirstOrder() },
  },
  { name: "resume", change: { resumes: true } },
  { name: "duplicates", change: { duplicates: new TailDuplicates() } },
  {
    name: "least-slack",
    change: { lotOrder: new LeastSlackLotOrder(TOKENS_PER_MS) },
  },
];
