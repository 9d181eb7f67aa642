/**
 * Compares calls through a node on loopback with direct calls of the stand-ins.
 * @module
 */
import { performance } from "node:perf_hooks";
import {
  Bench,
  type BenchCheck,
  type BenchOptions,
  type BenchResult,
} from "../bench/bench.ts";
import type { BenchRow } from "../bench/bench_row.ts";
import {
  buildCompletion,
  buildGeneration,
  buildServiceCall,
  LiveLoad,
  type LoadRequest,
  type LoadSample,
} from "./live_load.ts";
import { LiveProcesses } from "./live_processes.ts";
import { readProcessUse } from "./process_use.ts";
import { getQuantile } from "./traffic_result.ts";

const REQUESTS_PER_SECOND = 49;
const TOKENS_PER_SECOND = 14_000;
const TOKENS_PER_REQUEST = Math.round(TOKENS_PER_SECOND / REQUESTS_PER_SECOND);
const SHORT_TOKENS = 8;
const MAX_ADDED_P99_MS = 5;
const MAX_CORE_SHARE = 0.6;
const SATURATING_CALLS = 128;
const WARM_UP_CALLS = 50;
const CALLS = { service: 2000, stream: 300 };
const QUICK_CALLS = 100;

/** Compares calls through a node on loopback with direct calls of the stand-ins. */
export class LiveBench extends Bench {
  override readonly name = "live-calls";
  override readonly summary =
    "a node on loopback: added latency, core share at one node's load, saturation";

  override async run(options: BenchOptions): Promise<BenchResult> {
    const processes = await LiveProcesses.start();
    const loads = createLoads(processes);
    try {
      const rows: BenchRow[] = [];
      const checks: BenchCheck[] = [];
      for (const kind of ["service", "stream"] as const) {
        const calls = options.quick ? QUICK_CALLS : CALLS[kind];
        const { row, check } = await measureAddedLatency(loads, {
          kind,
          calls,
        });
        rows.push(row);
        checks.push(check);
      }
      const loadMs = options.quick ? 5000 : 30_000;
      const target = await measureTargetLoad(loads, { processes, loadMs });
      rows.push(target.row);
      checks.push(target.check);
      const durationMs = options.quick ? 2000 : 8000;
      rows.push(
        await measureSaturation(loads, { processes, boundMs: durationMs }),
      );
      return { rows, checks };
    } finally {
      await Promise.all(Object.values(loads).map((load) => load.close()));
      await processes.stop();
    }
  }
}

interface Loads {
  readonly node: LiveLoad;
  readonly engine: LiveLoad;
  readonly service: LiveLoad;
}

function createLoads(processes: LiveProcesses): Loads {
  const { addresses, nodeAddress } = processes;
  return {
    node: new LiveLoad(nodeAddress),
    engine: new LiveLoad(addresses.engines[0] ?? ""),
    service: new LiveLoad(addresses.services[0] ?? ""),
  };
}

const CALL_KINDS = {
  service: {
    viaNode: () => buildServiceCall("/services/echo"),
    direct: () => buildServiceCall(""),
    target: "service",
  },
  stream: {
    viaNode: () => buildCompletion(SHORT_TOKENS),
    direct: () => buildGeneration(SHORT_TOKENS),
    target: "engine",
  },
} as const;

/** Sends calls alternately through the node and directly, one at a time. */
async function measureAddedLatency(
  loads: Loads,
  options: { readonly kind: "service" | "stream"; readonly calls: number },
): Promise<{ readonly row: BenchRow; readonly check: BenchCheck }> {
  const kind = CALL_KINDS[options.kind];
  const target = loads[kind.target];
  await sendPairs(loads.node, { ...kind, target, calls: WARM_UP_CALLS });
  const { calls } = options;
  const pairs = await sendPairs(loads.node, { ...kind, target, calls });
  const getAddedMs = (quantile: number) =>
    getQuantile(pairs.node.map(getCompleteMs), quantile) -
    getQuantile(pairs.direct.map(getCompleteMs), quantile);
  const whole = pairs.node.filter(({ isComplete }) => isComplete).length;
  return {
    row: {
      measure: `added to a ${options.kind} call`,
      calls: options.calls,
      whole,
      "p50 ms": getAddedMs(0.5),
      "p99 ms": getAddedMs(0.99),
      "direct p50 ms": getQuantile(pairs.direct.map(getCompleteMs), 0.5),
    },
    check: {
      name: `added p99 of a ${options.kind} call, ms`,
      found: getAddedMs(0.99),
      relation: "at-most",
      bound: MAX_ADDED_P99_MS,
      target: "a node adds less than 5 ms at p99",
    },
  };
}

async function sendPairs(
  node: LiveLoad,
  options: {
    readonly viaNode: () => LoadRequest;
    readonly direct: () => LoadRequest;
    readonly target: LiveLoad;
    readonly calls: number;
  },
): Promise<{
  readonly node: readonly LoadSample[];
  readonly direct: readonly LoadSample[];
}> {
  const samples = { node: [] as LoadSample[], direct: [] as LoadSample[] };
  for (let call = 0; call < options.calls; call++) {
    samples.node.push(await node.send(options.viaNode()));
    samples.direct.push(await options.target.send(options.direct()));
  }
  return samples;
}

/** Streams completions at the load of one node of a deployment of the target size. */
async function measureTargetLoad(
  loads: Loads,
  options: { readonly processes: LiveProcesses; readonly loadMs: number },
): Promise<{ readonly row: BenchRow; readonly check: BenchCheck }> {
  const pid = options.processes.getNodePid();
  await sendOpenLoop(loads.node, 5000);
  const before = readProcessUse(pid);
  const startMs = performance.now();
  const samples = await sendOpenLoop(loads.node, options.loadMs);
  const elapsedMs = performance.now() - startMs;
  const after = readProcessUse(pid);
  const whole = samples.filter(({ isComplete }) => isComplete).length;
  const events = samples.reduce((sum, sample) => sum + sample.events, 0);
  const seconds = elapsedMs / 1000;
  const coreShare = (after.cpuMs - before.cpuMs) / elapsedMs;
  const tokensPerSecond = whole * TOKENS_PER_REQUEST / seconds;
  return {
    row: {
      measure: "at one node's load",
      calls: samples.length,
      whole,
      "requests/s": samples.length / seconds,
      "tokens/s": tokensPerSecond,
      "events/s": events / seconds,
      "core share": coreShare,
      "memory MB": after.residentMb,
      "first p99 ms": getQuantile(samples.map(({ firstMs }) => firstMs), 0.99),
    },
    check: {
      name: "core share at 14,000 streamed tokens/s",
      found: coreShare * TOKENS_PER_SECOND / Math.max(1, tokensPerSecond),
      relation: "at-most",
      bound: MAX_CORE_SHARE,
      target: "49 requests/s and 14,000 tokens/s take less than 60% of a core",
    },
  };
}

/** Starts requests at a fixed rate, regardless of when their responses arrive. */
async function sendOpenLoop(
  load: LiveLoad,
  durationMs: number,
): Promise<readonly LoadSample[]> {
  const startMs = performance.now();
  const responses: Promise<LoadSample>[] = [];
  while (performance.now() - startMs < durationMs) {
    const dueMs = startMs + responses.length * 1000 / REQUESTS_PER_SECOND;
    const waitMs = Math.max(0, dueMs - performance.now());
    await new Promise((resolve) => setTimeout(resolve, waitMs));
    responses.push(load.send(buildCompletion(TOKENS_PER_REQUEST)));
  }
  return await Promise.all(responses);
}

/** Keeps `SATURATING_CALLS` service calls open to measure the maximum throughput. */
async function measureSaturation(
  loads: Loads,
  options: { readonly processes: LiveProcesses; readonly boundMs: number },
): Promise<BenchRow> {
  const pid = options.processes.getNodePid();
  const before = readProcessUse(pid);
  const startMs = performance.now();
  const { boundMs } = options;
  const samples: LoadSample[] = [];
  const sendUntilEnd = async () => {
    while (performance.now() - startMs < boundMs) {
      samples.push(await loads.node.send(buildServiceCall("/services/echo")));
    }
  };
  const calls = Array.from({ length: SATURATING_CALLS }, sendUntilEnd);
  await new Promise((resolve) => setTimeout(resolve, boundMs));
  // Counts before the open calls are awaited: a call that hangs must not lengthen
  // the time over which the throughput is computed.
  const served = samples.length;
  const after = readProcessUse(pid);
  await Promise.all(calls);
  return {
    measure: "at saturation, service calls",
    calls: samples.length,
    whole: samples.filter(({ isComplete }) => isComplete).length,
    "requests/s": served / boundMs * 1000,
    "core share": (after.cpuMs - before.cpuMs) / boundMs,
    "memory MB": after.residentMb,
    "p99 ms": getQuantile(samples.map(getCompleteMs), 0.99),
    "max ms": getQuantile(samples.map(getCompleteMs), 1),
  };
}

function getCompleteMs({ completeMs: wholeMs }: LoadSample): number {
  return wholeMs;
}
