/**
 * Measures processor time and memory of each role at several sizes and
 * extrapolates both to the target size.
 * @module
 */
import process from "node:process";
import {
  Bench,
  type BenchCheck,
  type BenchOptions,
  type BenchResult,
} from "../bench/bench.ts";
import type { BenchRow } from "../bench/bench_row.ts";
import type { PlotStructure } from "../plots/plot.ts";
import { ClaimMeasure } from "./claim_measure.ts";
import { ConfigurationMeasure } from "./configuration_measure.ts";
import { DeliveryMeasure } from "./delivery_measure.ts";
import { EndpointListMeasure } from "./endpoint_list_measure.ts";
import { measureHeap } from "./heap_use.ts";
import { LeaseMeasure } from "./lease_measure.ts";
import { LoadReportMeasure } from "./load_report_measure.ts";
import { LotOwnerMeasure } from "./lot_owner_measure.ts";
import type { RoleMeasure, RoleSample, RoleState } from "./role_measure.ts";
import { RoutingMeasure } from "./routing_measure.ts";
import { ShareMeasure } from "./share_measure.ts";
import { computeCostAt } from "./slope.ts";
import { SnapshotMeasure } from "./snapshot_measure.ts";

const EVENTS = 2000;
const QUICK_EVENTS = 200;
const US_PER_S = 1_000_000;
const BYTES_PER_MB = 1_048_576;
const CONTROL_CORE_PERCENT = 3.9;
const CONTROL_MB = 64;

const MEASURES: readonly RoleMeasure[] = [
  new RoutingMeasure(),
  new ShareMeasure(),
  new ConfigurationMeasure(),
  new SnapshotMeasure(),
  new LeaseMeasure(),
  new LotOwnerMeasure(),
  new DeliveryMeasure(),
  new ClaimMeasure(),
  new EndpointListMeasure(),
  new LoadReportMeasure(),
];

const COST_PLOT: PlotStructure = {
  name: "role_cost",
  title: "Processor time of one event against size",
  kind: "line",
  x: { column: "size", title: "size, in the unit of the role", scale: "log" },
  y: { column: "cpuUsPerEvent", title: "µs an event", scale: "log" },
  series: "role",
};

/** The extrapolated cost of a role at the target size, on one node. */
interface RoleForecast {
  readonly measure: RoleMeasure;
  readonly corePercent: number;
  readonly megabytes: number;
  readonly bytesPerSecond: number;
}

/** Measures the cost of each role and extrapolates it to the target size. */
export class CapacityBench extends Bench {
  override readonly name = "capacity";
  override readonly summary =
    "processor time and memory of each role, and both at the target size";

  override async run(options: BenchOptions): Promise<BenchResult> {
    const events = options.quick ? QUICK_EVENTS : EVENTS;
    const rows: BenchRow[] = [];
    const forecasts: RoleForecast[] = [];
    for (const measure of MEASURES) {
      const samples: RoleSample[] = [];
      for (const size of measure.sizes) {
        samples.push(await measureSize(measure, size, events));
      }
      const forecast = computeForecast(measure, samples);
      rows.push(...samples.map((sample) => createRow(measure, sample)));
      rows.push(createForecastRow(forecast));
      forecasts.push(forecast);
    }
    // Absolute times differ between machines, so CI checks none of them.
    const checks = options.quick ? [] : createChecks(forecasts);
    return { rows, checks, plots: [COST_PLOT] };
  }
}

async function measureSize(
  measure: RoleMeasure,
  size: number,
  requestedEvents: number,
): Promise<RoleSample> {
  const warmUp = measure.countWarmUp(size);
  const { value: state, heapBytes } = await measureHeap(async () => {
    const warmState = await measure.buildState(size);
    await runEvents(warmState, { first: 0, count: warmUp });
    return warmState;
  });
  const events = measure.countEvents(size, requestedEvents);
  const start = process.cpuUsage();
  const bytes = await runEvents(state, { first: warmUp, count: events });
  const { user, system } = process.cpuUsage(start);
  await state.stop?.();
  return {
    size,
    cpuUs: (user + system) / events,
    heapBytes,
    messageBytes: bytes / events,
  };
}

/** Awaits only asynchronous states, as an await would add to the cost. */
async function runEvents(
  state: RoleState,
  options: { readonly first: number; readonly count: number },
): Promise<number> {
  let bytes = 0;
  for (let index = 0; index < options.count; index++) {
    const sent = state.handleEvent(options.first + index);
    bytes += typeof sent === "number" ? sent : await sent;
  }
  return bytes;
}

function computeForecast(
  measure: RoleMeasure,
  samples: readonly RoleSample[],
): RoleForecast {
  const { size, eventsPerSecond } = measure.target;
  const compute = (column: "cpuUs" | "heapBytes" | "messageBytes") =>
    computeCostAt(
      samples.map((it) => ({ size: it.size, value: it[column] })),
      size,
    );
  return {
    measure,
    corePercent: compute("cpuUs") * eventsPerSecond / US_PER_S * 100,
    megabytes: compute("heapBytes") / BYTES_PER_MB,
    bytesPerSecond: compute("messageBytes") * eventsPerSecond,
  };
}

function createRow(measure: RoleMeasure, sample: RoleSample): BenchRow {
  return {
    role: measure.role,
    unit: measure.unit,
    size: sample.size,
    cpuUsPerEvent: sample.cpuUs,
    heapKb: sample.heapBytes / 1024,
    messageBytes: sample.messageBytes,
  };
}

function createForecastRow(forecast: RoleForecast): BenchRow {
  const { measure } = forecast;
  return {
    role: measure.role,
    unit: "at target size",
    size: measure.target.size,
    eventsPerS: measure.target.eventsPerSecond,
    corePercent: forecast.corePercent,
    megabytes: forecast.megabytes,
    bytesPerS: forecast.bytesPerSecond,
  };
}

function createChecks(
  forecasts: readonly RoleForecast[],
): readonly BenchCheck[] {
  const control = forecasts.filter(({ measure }) => measure.target.isControl);
  const sum = (get: (forecast: RoleForecast) => number) =>
    control.reduce((total, forecast) => total + get(forecast), 0);
  const target = "control of a node at 370 nodes";
  return [
    {
      name: "core share of these control roles, percent",
      found: sum((it) => it.corePercent),
      relation: "at-most",
      bound: CONTROL_CORE_PERCENT,
      target,
    },
    {
      name: "memory of these control roles, MB",
      found: sum((it) => it.megabytes),
      relation: "at-most",
      bound: CONTROL_MB,
      target,
    },
  ];
}
