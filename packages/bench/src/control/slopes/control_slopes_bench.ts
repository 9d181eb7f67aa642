/**
 * Measures what control costs one node, run as a separate process, against
 * engines, contracts and changes, and extrapolates to the target size.
 * @module
 */
import { SystemClock } from "@briarhill/common/time/system_clock";
import {
  Bench,
  type BenchCheck,
  type BenchOptions,
  type BenchResult,
} from "../../bench/bench.ts";
import type { BenchRow } from "../../bench/bench_row.ts";
import { computeSlope } from "../../capacity/slope.ts";
import { SlopeSystem } from "./slope_system.ts";
import {
  computeSlopeCosts,
  readSlopeCounts,
  type SlopeCosts,
} from "./slope_window.ts";

const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;
const TARGET_BYTES_PER_SECOND = 2_048;
const TARGET_CORE_PERCENT = 3.9;
const TARGET_MB = 64;
const TARGET_APPENDS_PER_SECOND = 200;
const TARGET_CHANGES_PER_SECOND = 8_300 / SECONDS_PER_DAY;

/** The varied dimension; the others keep the size of their last point. */
type Dimension = "engines" | "contracts" | "changes/s";

/** Engines of the first point, which fetches almost no load reports. */
const INITIAL_ENGINES = 1;

interface SlopePlan {
  readonly hosts: number;
  readonly settleMs: number;
  readonly windowMs: number;
  readonly sizes: Readonly<Record<Dimension, readonly number[]>>;
}

interface SlopePoint {
  /** Undefined for the first point. */
  readonly dimension: Dimension | undefined;
  readonly size: number;
  readonly costs: SlopeCosts;
}

const TARGETS: Readonly<Record<Dimension, number>> = {
  "engines": 12_000,
  "contracts": 200,
  "changes/s": TARGET_CHANGES_PER_SECOND,
};

const PLAN: SlopePlan = {
  hosts: 64,
  settleMs: 5_000,
  windowMs: 20_000,
  sizes: {
    "engines": [600, 3_000, 6_000],
    "contracts": [10, 50, 200],
    "changes/s": [1, 2, 4],
  },
};

const QUICK_PLAN: SlopePlan = {
  hosts: 12,
  settleMs: 3_000,
  windowMs: 5_000,
  sizes: { "engines": [64, 256], "contracts": [5, 20], "changes/s": [1, 4] },
};

/** Measures what control costs one node, run as a separate process. */
export class ControlSlopesBench extends Bench {
  override readonly name = "control-slopes";
  override readonly summary =
    "bytes, processor time and memory of control against engines, contracts and changes";
  readonly #clock = new SystemClock();

  override async run(options: BenchOptions): Promise<BenchResult> {
    const plan = options.quick ? QUICK_PLAN : PLAN;
    const system = await SlopeSystem.start(plan.hosts, {
      engines: INITIAL_ENGINES,
      contracts: plan.sizes.contracts[0] ?? 0,
      seed: options.seed,
    });
    try {
      const points = [await this.#measure(system, plan, [undefined, 1])];
      for (const size of plan.sizes.engines) {
        system.setEngines(size);
        points.push(await this.#measure(system, plan, ["engines", size]));
      }
      for (const size of plan.sizes.contracts) {
        await system.changes.publishContracts(size);
        points.push(await this.#measure(system, plan, ["contracts", size]));
      }
      for (const size of plan.sizes["changes/s"]) {
        points.push(await this.#measure(system, plan, ["changes/s", size]));
      }
      return buildResult(points, options.quick);
    } finally {
      await system.stop();
    }
  }

  async #measure(
    system: SlopeSystem,
    plan: SlopePlan,
    [dimension, size]: readonly [Dimension | undefined, number],
  ): Promise<SlopePoint> {
    await system.waitUntilInForce();
    await this.#clock.sleep(plan.settleMs);
    const before = readSlopeCounts(system, this.#clock.getMonotonicMs());
    if (dimension === "changes/s") {
      await this.#publishFor(system, size, plan.windowMs);
    } else {
      await this.#clock.sleep(plan.windowMs);
    }
    const after = readSlopeCounts(system, this.#clock.getMonotonicMs());
    return { dimension, size, costs: computeSlopeCosts(before, after) };
  }

  async #publishFor(
    system: SlopeSystem,
    perSecond: number,
    forMs: number,
  ): Promise<void> {
    const changes = forMs / MS_PER_SECOND * perSecond;
    for (let index = 0; index < changes; index++) {
      await system.changes.publishChange();
      await this.#clock.sleep(MS_PER_SECOND / perSecond);
    }
  }
}

function buildResult(
  points: readonly SlopePoint[],
  quick: boolean,
): BenchResult {
  const target = computeTarget(points);
  return {
    rows: [
      ...points.map(({ dimension, size, costs }) =>
        createRow(`${size} ${dimension ?? "engine"}`, costs)
      ),
      createRow("at the target size", target),
    ],
    checks: createChecks(points, target, quick),
  };
}

/** Returns the costs of the first point plus the growth of each dimension to its target. */
function computeTarget(points: readonly SlopePoint[]): SlopeCosts {
  const [first] = points;
  const read = (get: (costs: SlopeCosts) => number) =>
    (Object.keys(TARGETS) as Dimension[]).reduce(
      (sum, dimension) => sum + computeGrowth(points, dimension, get),
      first === undefined ? 0 : get(first.costs),
    );
  return {
    bytesPerSecond: {
      log: read((costs) => costs.bytesPerSecond.log),
      hosts: read((costs) => costs.bytesPerSecond.hosts),
      weights: read((costs) => costs.bytesPerSecond.weights),
      engines: read((costs) => costs.bytesPerSecond.engines),
    },
    corePercent: read((costs) => costs.corePercent),
    residentMb: read((costs) => costs.residentMb),
    appendsPerSecond: read((costs) => costs.appendsPerSecond),
  };
}

function computeGrowth(
  points: readonly SlopePoint[],
  dimension: Dimension,
  get: (costs: SlopeCosts) => number,
): number {
  const varied = points.filter((point) => point.dimension === dimension);
  const line = computeSlope(
    varied.map(({ size, costs }) => ({ size, value: get(costs) })),
  );
  return Math.max(0, line.perUnit) * TARGETS[dimension];
}

function createRow(size: string, costs: SlopeCosts): BenchRow {
  const { log, hosts, weights, engines } = costs.bytesPerSecond;
  return {
    size,
    "log B/s": Math.round(log),
    "host list B/s": Math.round(hosts),
    "store B/s": Math.round(weights),
    "load reports B/s": Math.round(engines),
    "core %": Number(costs.corePercent.toFixed(2)),
    "rss MB": Math.round(costs.residentMb),
    "appends/s": Number(costs.appendsPerSecond.toFixed(2)),
  };
}

/** Checks no forecasts in the quick run, as absolute times differ by machine. */
function createChecks(
  points: readonly SlopePoint[],
  target: SlopeCosts,
  quick: boolean,
): readonly BenchCheck[] {
  const steady = points.filter(({ dimension }) => dimension !== "changes/s");
  const measured = Math.max(...steady.map(({ costs }) => computeBytes(costs)));
  const most = points.map(({ costs }) => costs.appendsPerSecond);
  const counts = [
    ["bytes/s measured", measured, TARGET_BYTES_PER_SECOND],
    ["appends/s measured", Math.max(...most), TARGET_APPENDS_PER_SECOND],
  ] as const;
  const growthMb = target.residentMb - (points[0]?.costs.residentMb ?? 0);
  const forecasts = [
    ["bytes/s at the target", computeBytes(target), TARGET_BYTES_PER_SECOND],
    ["core % at the target", target.corePercent, TARGET_CORE_PERCENT],
    ["rss MB beyond the first point", growthMb, TARGET_MB],
  ] as const;
  return [...counts, ...quick ? [] : forecasts].map((
    [name, found, bound],
  ) => ({
    name,
    found,
    relation: "at-most" as const,
    bound,
    target: "all control on a node, at the target size",
  }));
}

/** Returns the bytes of control; load reports belong to request routing. */
function computeBytes({ bytesPerSecond }: SlopeCosts): number {
  const { log, hosts, weights } = bytesPerSecond;
  return log + hosts + weights;
}
