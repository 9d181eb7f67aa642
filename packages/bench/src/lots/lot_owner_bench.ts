/**
 * Measures the cost of a lot at its owner and at the other members.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import { SystemClock } from "@briarhill/common/time/system_clock";
import {
  Bench,
  type BenchCheck,
  type BenchOptions,
  type BenchResult,
} from "../bench/bench.ts";
import type { BenchRow } from "../bench/bench_row.ts";
import type { StepRecord } from "../trainer/trainer_client.ts";
import { checkStep, isStepSound } from "../trainer/step_check.ts";
import { LotCluster } from "./lot_cluster.ts";
import type { NodeReport } from "./node_report.ts";

const MODEL = "names-es";
const SAMPLES_PER_GROUP = 8;
const WARM_UP_SAMPLES = 256;
const IDLE_MS = 3000;
const MAX_VERSIONS_BEHIND = 4;
/** Maximum number of streams on one host, as a multiple of an even share. */
const MAX_STREAM_RATIO = 2;

interface LotSize {
  readonly members: number;
  readonly samples: number;
  readonly tokens: number;
}

const SIZES: readonly LotSize[] = [
  { members: 1, samples: 512, tokens: 100 },
  { members: 2, samples: 512, tokens: 100 },
  { members: 4, samples: 512, tokens: 100 },
  { members: 8, samples: 512, tokens: 100 },
  { members: 8, samples: 1024, tokens: 100 },
  { members: 8, samples: 2048, tokens: 100 },
  { members: 8, samples: 512, tokens: 400 },
  { members: 8, samples: 512, tokens: 800 },
];
const QUICK_SIZES: readonly LotSize[] = [
  { members: 1, samples: 64, tokens: 50 },
  { members: 3, samples: 64, tokens: 50 },
];

/** Measures streams, tokens, processor time and bytes of the owner of a lot. */
export class LotOwnerBench extends Bench {
  override readonly name = "lot-owner";
  override readonly summary =
    "cost of a lot at its owner and members, as processes: streams, bytes, processor time";

  override async run(options: BenchOptions): Promise<BenchResult> {
    const clock = new SystemClock();
    const rows: BenchRow[] = [];
    const checks: BenchCheck[] = [];
    for (const size of options.quick ? QUICK_SIZES : SIZES) {
      const measured = await measureLot(size, clock);
      rows.push(measured.row);
      checks.push(...measured.checks);
    }
    return { rows, checks };
  }
}

async function measureLot(
  size: LotSize,
  clock: Clock,
): Promise<{ readonly row: BenchRow; readonly checks: readonly BenchCheck[] }> {
  const cluster = await LotCluster.start(size.members, clock);
  try {
    // The first lot warms up the nodes: their code is loaded and compiled.
    await runLot(cluster, { ...size, samples: WARM_UP_SAMPLES, step: 0 });
    const start = await fetchReports(cluster);
    await clock.sleep(IDLE_MS);
    const before = await fetchReports(cluster);
    const { samples, stepMs } = await runLot(cluster, { ...size, step: 1 });
    const after = await fetchReports(cluster);
    const verdict = checkStep(samples, {
      size: size.samples,
      maxVersionsBehind: MAX_VERSIONS_BEHIND,
    });
    const chars = samples.reduce((sum, { text }) => sum + text.length, 0);
    const costs = after.map((report, at) =>
      computeCosts({ start: start[at], before: before[at], report }, stepMs)
    );
    const row = buildRow(size, { costs, stepMs, chars });
    return { row, checks: buildChecks(size, costs, isStepSound(verdict)) };
  } finally {
    await cluster.stop();
  }
}

function runLot(
  cluster: LotCluster,
  lot: LotSize & { readonly step: number },
): Promise<StepRecord> {
  return cluster.trainer.runStep({
    id: `step-${lot.step}`,
    step: lot.step,
    model: MODEL,
    groups: lot.samples / SAMPLES_PER_GROUP,
    samplesPerGroup: SAMPLES_PER_GROUP,
    maxTokens: lot.tokens,
  });
}

function fetchReports(cluster: LotCluster): Promise<readonly NodeReport[]> {
  return Promise.all(cluster.nodes.map((node) => node.fetchReport()));
}

/** The cost of a lot at one node, less the cost of the idle node for that time. */
interface LotCosts {
  readonly streams: number;
  readonly tokens: number;
  readonly cpuMs: number;
  readonly peerBytes: number;
  readonly residentMb: number;
}

function computeCosts(
  reports: {
    readonly start: NodeReport | undefined;
    readonly before: NodeReport | undefined;
    readonly report: NodeReport;
  },
  stepMs: number,
): LotCosts {
  const { report, start = report, before = report } = reports;
  const idleShare = stepMs / IDLE_MS;
  const idleCpuMs = (before.cpuMs - start.cpuMs) * idleShare;
  const idleBytes = (countBytes(before) - countBytes(start)) * idleShare;
  return {
    streams: report.streams - before.streams,
    tokens: report.tokens - before.tokens,
    cpuMs: report.cpuMs - before.cpuMs - idleCpuMs,
    peerBytes: countBytes(report) - countBytes(before) - idleBytes,
    residentMb: report.residentMb,
  };
}

function countBytes({ traffic }: NodeReport): number {
  return traffic.bytesIn + traffic.bytesOut;
}

function buildRow(size: LotSize, measured: {
  readonly costs: readonly LotCosts[];
  readonly stepMs: number;
  readonly chars: number;
}): BenchRow {
  const { costs, stepMs, chars } = measured;
  const [owner, ...others] = costs;
  const memberStreams = computeSum(others, ({ streams }) => streams);
  const memberMs = computeSum(others, ({ cpuMs }) => cpuMs) / memberStreams;
  const ownerMs = owner?.cpuMs ?? 0;
  const coordinationMs = (ownerMs - memberMs * (owner?.streams ?? 0)) /
    size.samples;
  return {
    ...size,
    "step s": stepMs / 1000,
    "most streams": Math.max(...costs.map(({ streams }) => streams)),
    "owner streams": owner?.streams ?? 0,
    "owner tokens": owner?.tokens ?? 0,
    "owner cpu ms/sample": ownerMs / size.samples,
    "member cpu ms/made": memberStreams === 0 ? 0 : memberMs,
    "owner less its streams": memberStreams === 0 ? 0 : coordinationMs,
    "owner peer B/made": memberStreams === 0
      ? 0
      : (owner?.peerBytes ?? 0) / memberStreams,
    "body B": chars / size.samples,
    "owner MB": owner?.residentMb ?? 0,
  };
}

function buildChecks(
  size: LotSize,
  costs: readonly LotCosts[],
  isSound: boolean,
): readonly BenchCheck[] {
  const name = `${size.samples} samples over ${size.members} hosts`;
  const maxStreams = Math.max(...costs.map(({ streams }) => streams));
  const streams = computeSum(costs, (cost) => cost.streams);
  return [
    {
      name: `sound lots: ${name}`,
      found: isSound ? 1 : 0,
      relation: "at-least",
      bound: 1,
      target:
        "each sample complete, delivered once and labelled with the right versions",
    },
    {
      name: `streams a sample: ${name}`,
      found: streams / size.samples,
      relation: "at-least",
      bound: 1,
      target: "each sample is counted on the host that read its stream",
    },
    {
      name: `most streams of a host over an even share: ${name}`,
      found: maxStreams * size.members / size.samples,
      relation: "at-most",
      bound: MAX_STREAM_RATIO,
      target: "14,000 of 5.2 M tokens/s on each of 370 nodes",
    },
  ];
}

function computeSum(
  costs: readonly LotCosts[],
  get: (cost: LotCosts) => number,
): number {
  return costs.reduce((total, cost) => total + get(cost), 0);
}
