/**
 * Measures training steps under each policy in virtual time.
 * @module
 */
import {
  Bench,
  type BenchCheck,
  type BenchOptions,
  type BenchResult,
} from "../bench/bench.ts";
import { ROLLOUT_PLOTS } from "./rollout_plots.ts";
import type { BenchRow } from "../bench/bench_row.ts";
import {
  AGENCIA,
  buildScaledMix,
  buildSlowMix,
  MAISON,
  type RolloutMix,
} from "./rollout_mix.ts";
import { BASELINE, CHOSEN, POLICY_STEPS } from "./rollout_policies.ts";
import type { RunPolicies } from "./run_options.ts";
import { TrainingRun } from "./training_run.ts";

const STEPS = 20;
const QUICK_STEPS = 8;
const LARGE_STEPS = 3;
const LARGE_SIZES = [24, 96, 200];
const MAX_BOUND_RATIO = 1.25;
const MAX_IDLE_RATIO = 0.5;
const MAX_WASTED_SHARE = 0.08;
const TARGET = "issue 6";
const MIXES = [AGENCIA, MAISON, ...[AGENCIA, MAISON].map(buildSlowMix)];

interface Row extends BenchRow {
  readonly stepRatio: number;
  readonly idleS: number;
  readonly wasted: number;
}

/** Measures training steps under each policy in virtual time. */
export class RolloutStepsBench extends Bench {
  override readonly name: string = "rollout-steps";
  override readonly summary: string =
    "step time, idle time, staleness and waste of training steps";

  override run({ seed, quick }: BenchOptions): Promise<BenchResult> {
    const rows: Row[] = [];
    const checks: BenchCheck[] = [];
    for (const mix of MIXES) {
      const run = (name: string, policies: RunPolicies) =>
        measureRow(mix, name, {
          policies,
          seed,
          steps: quick ? QUICK_STEPS : STEPS,
        });
      const baseline = run("baseline", BASELINE);
      const chosen = run("chosen", CHOSEN);
      rows.push(baseline, ...(quick ? [] : measurePolicySteps(run)), chosen);
      checks.push(...listChecks(mix, baseline, chosen));
    }
    if (!quick) {
      rows.push(...measureScaledMixes(seed));
    }
    return Promise.resolve({ rows, checks, plots: ROLLOUT_PLOTS });
  }
}

function measurePolicySteps(
  run: (name: string, policies: RunPolicies) => Row,
): readonly Row[] {
  let policies = BASELINE;
  return POLICY_STEPS.map(({ name, change }) => {
    policies = { ...policies, ...change };
    return run(`+ ${name}`, policies);
  });
}

function measureScaledMixes(seed: number): readonly Row[] {
  return LARGE_SIZES.flatMap((engines) => {
    const mix = buildScaledMix(AGENCIA, engines);
    const options = { seed, steps: LARGE_STEPS };
    return [
      measureRow(mix, "baseline", { ...options, policies: BASELINE }),
      measureRow(mix, "chosen", { ...options, policies: CHOSEN }),
    ];
  });
}

function measureRow(
  mix: RolloutMix,
  name: string,
  options: {
    readonly policies: RunPolicies;
    readonly seed: number;
    readonly steps: number;
  },
): Row {
  const run = new TrainingRun({ mix, ...options });
  const report = run.run();
  const boundMs = run.computeBoundMs(report);
  return {
    mix: mix.name,
    policies: name,
    boundS: boundMs / 1000,
    stepRatio: report.stepMeanMs / boundMs,
    stepP50S: report.stepP50Ms / 1000,
    stepP99S: report.stepP99Ms / 1000,
    idleS: report.idleMeanMs / 1000,
    idleLeastS: Math.max(0, boundMs - getTrainMs(mix)) / 1000,
    tailS: report.tailP50Ms / 1000,
    versionsP50: report.versionsP50,
    versionsP99: report.versionsP99,
    ageP99S: report.ageP99Ms / 1000,
    wasted: report.wastedShare,
    overBound: report.overBound,
    lossOnDeath: (report.undeliveredTokens + report.runningTokens) /
      (report.workTokens / report.steps * mix.trainers.length),
    lossKept: report.runningTokens /
      (report.workTokens / report.steps * mix.trainers.length),
  };
}

/** Returns the time of a training step of a mix, between two lots. */
function getTrainMs(mix: RolloutMix): number {
  return mix.trainers[0]?.trainMs ?? 0;
}

function listChecks(
  mix: RolloutMix,
  baseline: Row,
  chosen: Row,
): readonly BenchCheck[] {
  const check = (name: string, found: number, bound: number): BenchCheck => ({
    name: `${mix.name}: ${name}`,
    found,
    relation: "at-most",
    bound,
    target: TARGET,
  });
  return [
    check("step time / lower bound", chosen.stepRatio, MAX_BOUND_RATIO),
    check("idle / baseline", chosen.idleS / baseline.idleS, MAX_IDLE_RATIO),
    check("wasted tokens", chosen.wasted, MAX_WASTED_SHARE),
    check("samples over their bound", Number(chosen["overBound"]), 0),
  ];
}
