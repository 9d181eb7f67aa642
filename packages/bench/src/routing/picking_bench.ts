/**
 * Measures live calls with and without training for each picking policy and fault.
 * @module
 */
import { AffinityPicker } from "@briarhill/routing/picking/affinity_picker";
import type { EnginePicker } from "@briarhill/routing/picking/engine_picker";
import { LeastReportedPicker } from "@briarhill/routing/picking/least_reported_picker";
import { RandomPicker } from "@briarhill/routing/picking/random_picker";
import { RoundRobinPicker } from "@briarhill/routing/picking/round_robin_picker";
import { TwoChoicesPicker } from "@briarhill/routing/picking/two_choices_picker";
import {
  Bench,
  type BenchCheck,
  type BenchOptions,
  type BenchResult,
} from "../bench/bench.ts";
import type { BenchRow } from "../bench/bench_row.ts";
import type { TrafficFault, TrafficSettings } from "./traffic.ts";
import { TrafficModel } from "./traffic_model.ts";
import type { TrafficResult } from "./traffic_result.ts";

const CHOSEN = "affinity";
const POLICIES: Readonly<Record<string, () => EnginePicker>> = {
  "round-robin": () => new RoundRobinPicker(),
  "random": () => new RandomPicker(),
  "least-reported": () => new LeastReportedPicker(),
  "two-choices": () => new TwoChoicesPicker(),
  [CHOSEN]: () => new AffinityPicker(),
};
const FAULTS: readonly TrafficFault[] = [
  "none",
  "crash",
  "slow",
  "late-reports",
];
const MAX_P99_RATIO = 1.5;
const MAX_SHARE_ERROR = 0.05;
const LIVE_FLOOR = 0.4;

/** Measures live calls with and without training for each picking policy and fault. */
export class PickingBench extends Bench {
  override readonly name = "picking";
  override readonly summary =
    "live calls with and without training, in virtual time";

  override run(options: BenchOptions): Promise<BenchResult> {
    const rows: BenchRow[] = [];
    const checks: BenchCheck[] = [];
    const policies = options.quick ? [CHOSEN] : Object.keys(POLICIES);
    for (const policy of policies) {
      for (const fault of FAULTS) {
        const { row, ratio, shareError } = measureRow(options, policy, fault);
        rows.push(row);
        if (policy === CHOSEN) {
          checks.push(...buildChecks(fault, { ratio, shareError }));
        }
      }
    }
    if (!options.quick) {
      rows.push(measureRow(options, CHOSEN, "none", 0).row);
    }
    return Promise.resolve({ rows, checks });
  }
}

function measureRow(
  options: BenchOptions,
  policy: string,
  fault: TrafficFault,
  liveFloor = LIVE_FLOOR,
): {
  readonly row: BenchRow;
  readonly ratio: number;
  readonly shareError: number;
} {
  const run = (training: boolean) =>
    runModel(policy, {
      seed: options.seed,
      hosts: 12,
      engines: 6,
      durationMs: options.quick ? 60_000 : 90_000,
      livePerSecond: 40,
      training,
      fault,
      liveFloor,
    });
  const alone = run(false);
  const mixed = run(true);
  const ratio = mixed.completeP99Ms / alone.completeP99Ms;
  const row = {
    policy,
    fault,
    floor: liveFloor,
    calls: mixed.liveCalls,
    refused: mixed.refused,
    "alone p99 ms": alone.completeP99Ms,
    "mixed p99 ms": mixed.completeP99Ms,
    ratio,
    "first p99 ms": mixed.firstTokenP99Ms,
    "share error": mixed.shareError,
    rollouts: mixed.rollouts,
  };
  return { row, ratio, shareError: mixed.shareError };
}

function runModel(policy: string, settings: TrafficSettings): TrafficResult {
  const createPicker = POLICIES[policy] ?? (() => new AffinityPicker());
  return new TrafficModel(settings, createPicker).run();
}

function buildChecks(
  fault: TrafficFault,
  found: { readonly ratio: number; readonly shareError: number },
): readonly BenchCheck[] {
  return [
    {
      name: `live p99 with training over without, fault ${fault}`,
      found: found.ratio,
      relation: "at-most",
      bound: MAX_P99_RATIO,
      target: "within 1.5 times under overload by training",
    },
    {
      name: `share error, fault ${fault}`,
      found: found.shareError,
      relation: "at-most",
      bound: MAX_SHARE_ERROR,
      target: "shares hold over hosts within 5%",
    },
  ];
}
