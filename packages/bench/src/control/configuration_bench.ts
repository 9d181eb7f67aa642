/**
 * Measures appends for configuration and leases against the number of hosts.
 * @module
 */
import {
  Bench,
  type BenchCheck,
  type BenchOptions,
  type BenchResult,
} from "../bench/bench.ts";
import type { BenchRow } from "../bench/bench_row.ts";
import { measureAppendRate } from "./append_rates.ts";

const MAX_APPENDS_PER_SECOND = 200;

const SYSTEMS = [
  { hosts: 12, leases: 2 },
  { hosts: 48, leases: 4 },
  { hosts: 370, leases: 7 },
];
const QUICK_SYSTEMS = 2;
const STEADY_SECONDS = 120;
const QUICK_STEADY_SECONDS = 30;

/** Measures the log appends of configuration and leases per number of hosts. */
export class ConfigurationBench extends Bench {
  override readonly name = "configuration";
  override readonly summary =
    "appends of the whole system for configuration and leases, by hosts";

  override async run(options: BenchOptions): Promise<BenchResult> {
    const { seed, quick } = options;
    const systems = quick ? SYSTEMS.slice(0, QUICK_SYSTEMS) : SYSTEMS;
    const steadySeconds = quick ? QUICK_STEADY_SECONDS : STEADY_SECONDS;
    const rates: BenchRow[] = [];
    for (const system of systems) {
      rates.push(await measureAppendRate({ seed, steadySeconds, ...system }));
    }
    return { rows: rates, checks: createRateChecks(rates) };
  }
}

function createRateChecks(rows: readonly BenchRow[]): readonly BenchCheck[] {
  return rows.map((row) => ({
    name: `appends in the busiest second of ${row["hosts"]} hosts`,
    found: Math.max(
      Number(row["appendsPerSecond"]),
      Number(row["peakAfterStart"]),
      Number(row["peakAfterOutage"]),
      Number(row["peakAfterDeath"]),
    ),
    relation: "at-most",
    bound: MAX_APPENDS_PER_SECOND,
    target: "under 200 appends a second for the whole system",
  }));
}
