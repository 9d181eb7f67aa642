/**
 * Measures the time of a weight rollout to all engines, in virtual time.
 * @module
 */
import {
  Bench,
  type BenchCheck,
  type BenchOptions,
  type BenchResult,
} from "../../bench/bench.ts";
import type { BenchRow } from "../../bench/bench_row.ts";
import {
  ENGINE_TIMES_MS,
  RolloutSimulation,
  type SimulationResult,
  type SimulationSetup,
} from "./rollout_simulation.ts";

const TARGET_ENGINES = 12_000;
const TARGET_MS = 20_000;
const BOUND_FACTOR = 1.1;
const TIME_TARGET = "20 s at 12,000 engines, else the lower bound x 1.1";
const RATE_TARGET = "the store's rate holds over all hosts";
const FLOOR_TARGET = "the live floor holds in each wave";
const LIVE_FLOOR = 0.75;
const FAILURE_RATE = 0.01;

type Case = Pick<
  SimulationSetup,
  "engines" | "fetchesPerSecond" | "failureRate"
>;

const CASES: readonly Case[] = [
  { engines: 6, fetchesPerSecond: 2, failureRate: 0 },
  { engines: 60, fetchesPerSecond: 10, failureRate: 0 },
  { engines: 600, fetchesPerSecond: 50, failureRate: 0 },
  { engines: 12_000, fetchesPerSecond: 1_000, failureRate: 0 },
  { engines: 12_000, fetchesPerSecond: 100, failureRate: 0 },
  {
    engines: 12_000,
    fetchesPerSecond: 1_000,
    failureRate: FAILURE_RATE,
  },
];

/** Measures the time until a new version reaches all engines. */
export class WeightsBench extends Bench {
  override readonly name = "weights";
  override readonly summary =
    "time to all engines, store requests and capacity lost against engines";

  override run(options: BenchOptions): Promise<BenchResult> {
    const rows: BenchRow[] = [];
    const checks: BenchCheck[] = [];
    for (const one of CASES) {
      const setup = { ...one, liveFloor: LIVE_FLOOR, seed: options.seed };
      const result = new RolloutSimulation(setup).run();
      rows.push(createRow(setup, result));
      checks.push(...createChecks(setup, result));
    }
    return Promise.resolve({ rows, checks });
  }
}

/**
 * Returns the lower bound of the rollout time: the last fetch starts when the
 * fetch rate allows it, and the waves of switches that respect the live floor run
 * one after another.
 */
function computeLowerBoundMs(setup: SimulationSetup): number {
  const { engines, fetchesPerSecond, liveFloor } = setup;
  const wave = Math.max(1, Math.floor(engines * (1 - liveFloor)));
  const fetchesMs = (engines - 1) / fetchesPerSecond * 1_000;
  const wavesMs = (Math.ceil(engines / wave) - 1) * ENGINE_TIMES_MS.switch;
  return ENGINE_TIMES_MS.load + ENGINE_TIMES_MS.switch +
    Math.max(fetchesMs, wavesMs);
}

function createRow(setup: SimulationSetup, result: SimulationResult): BenchRow {
  const { engines, fetchesPerSecond, failureRate } = setup;
  const boundMs = computeLowerBoundMs(setup);
  return {
    engines,
    "fetches/s": fetchesPerSecond,
    "failures %": failureRate * 100,
    "total s": result.totalMs / 1_000,
    "bound s": Number((boundMs / 1_000).toFixed(2)),
    ratio: Number((result.totalMs / boundMs).toFixed(3)),
    fetches: result.fetches,
    "most fetches/s": result.mostFetches,
    "most switching": result.mostSwitching,
    "lost engine s": result.lostMs / 1_000,
    "most orders/s": result.mostOrders,
  };
}

function computeTimeBoundMs(setup: SimulationSetup): number {
  const boundMs = computeLowerBoundMs(setup) * BOUND_FACTOR;
  return setup.engines >= TARGET_ENGINES && boundMs <= TARGET_MS
    ? TARGET_MS
    : boundMs;
}

function createChecks(
  setup: SimulationSetup,
  result: SimulationResult,
): readonly BenchCheck[] {
  const { engines, fetchesPerSecond, failureRate } = setup;
  const { totalMs, fetches, mostSwitching, mostFetches } = result;
  const most = {
    timeMs: computeTimeBoundMs(setup),
    // Each engine fetches once, and once more after each failure.
    fetches: Math.ceil(engines * (1 + 3 * failureRate)),
    switching: Math.max(1, engines * (1 - LIVE_FLOOR)),
  };
  const bounds = [
    ["ms until all serve", totalMs, most.timeMs, TIME_TARGET],
    ["store requests", fetches, most.fetches, RATE_TARGET],
    ["most switching", mostSwitching, most.switching, FLOOR_TARGET],
    ["most fetches in 1 s", mostFetches, fetchesPerSecond, RATE_TARGET],
  ] as const;
  return bounds.map(([what, found, bound, target]) => ({
    name: `${what}, ${engines} engines, ${fetchesPerSecond}/s, ${failureRate}`,
    found,
    relation: "at-most",
    bound,
    target,
  }));
}
