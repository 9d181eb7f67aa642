/**
 * Measures what the peer network costs each node, on separate processes over
 * loopback at several sizes, and extrapolates the costs to the target size.
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
import {
  computeCosts,
  computeTarget,
  type CostWindow,
  type SizeCosts,
  TARGET_NODES,
} from "./membership_costs.ts";
import { PeerProcess } from "./peer_process.ts";
import type { PeerReport } from "./peer_report.ts";

const SIZES = [12, 32, 64, 100];
const QUICK_SIZES = [6, 12];
const WINDOW_MS = 15_000;
const QUICK_WINDOW_MS = 4_000;
const SETTLE_MS = 40_000;
const QUICK_SETTLE_MS = 6_000;
const MAX_PARALLEL_STARTS = 8;
const SEEDS = 2;
const TARGET_BYTES_PER_SECOND = 2_048;
const TARGET_CORE_PERCENT = 3.9;
const TARGET_HEAP_MB = 64;

/** Measures what the peer network costs each node. */
export class MembershipBench extends Bench {
  override readonly name = "membership";
  override readonly summary =
    "bytes, processor time and memory of the membership against nodes";
  readonly #clock = new SystemClock();

  override async run(options: BenchOptions): Promise<BenchResult> {
    const costs: SizeCosts[] = [];
    for (const nodes of options.quick ? QUICK_SIZES : SIZES) {
      costs.push(await this.#measureSize(nodes, options));
    }
    const targets = options.quick ? [] : [computeTarget(costs)];
    const checks = createChecks(targets, costs);
    const rows = [...costs, ...targets].map(createRow);
    return { rows, checks };
  }

  async #measureSize(
    nodes: number,
    options: BenchOptions,
  ): Promise<SizeCosts> {
    const processes: PeerProcess[] = [];
    try {
      await this.#startAll(processes, nodes, options.seed);
      await this.#clock.sleep(options.quick ? QUICK_SETTLE_MS : SETTLE_MS);
      const windowMs = options.quick ? QUICK_WINDOW_MS : WINDOW_MS;
      const idle = await this.#measureWindow(
        processes,
        () => this.#clock.sleep(windowMs),
      );
      const churn = await this.#measureWindow(
        processes.slice(0, -1),
        () => this.#runRestart(processes, options.seed, windowMs),
      );
      return computeCosts(nodes, { idle, churn });
    } finally {
      await Promise.all(processes.map((one) => one.stop()));
    }
  }

  async #startAll(
    processes: PeerProcess[],
    nodes: number,
    seed: number,
  ): Promise<void> {
    while (processes.length < nodes) {
      const from = processes.length;
      const batchSize = from < SEEDS ? 1 : MAX_PARALLEL_STARTS;
      const batch = Array.from(
        { length: Math.min(batchSize, nodes - from) },
        (_, offset) => startProcess(processes, from + offset, seed),
      );
      processes.push(...await Promise.all(batch));
    }
  }

  async #runRestart(
    processes: PeerProcess[],
    seed: number,
    windowMs: number,
  ): Promise<void> {
    await processes.pop()?.stop();
    await this.#clock.sleep(windowMs);
    const index = processes.length;
    processes.push(await startProcess(processes, index, seed));
    await this.#clock.sleep(windowMs);
  }

  async #measureWindow(
    processes: readonly PeerProcess[],
    work: () => Promise<void>,
  ): Promise<CostWindow> {
    const startMs = this.#clock.getMonotonicMs();
    const before = await fetchReports(processes);
    await work();
    const seconds = (this.#clock.getMonotonicMs() - startMs) / 1_000;
    return { before, after: await fetchReports(processes), seconds };
  }
}

function startProcess(
  processes: readonly PeerProcess[],
  index: number,
  seed: number,
): Promise<PeerProcess> {
  const seedPorts = processes.slice(0, SEEDS).map((one) => one.getPort());
  return PeerProcess.start({ index, seed, seedPorts });
}

function fetchReports(
  processes: readonly PeerProcess[],
): Promise<readonly PeerReport[]> {
  return Promise.all(processes.map((one) => one.fetchReport()));
}

function createRow(cost: SizeCosts): BenchRow {
  return {
    nodes: cost.nodes,
    "bytes/s": Math.round(cost.bytesPerSecond),
    "messages/s": Number(cost.messagesPerSecond.toFixed(2)),
    "core %": Number(cost.corePercent.toFixed(2)),
    "heap MB": Number(cost.heapMb.toFixed(2)),
    "rss MB": Math.round(cost.rssMb),
    "bytes/event": Math.round(cost.eventBytes),
    whole: cost.whole,
  };
}

/**
 * Checks no target size in the quick run, whose measurements have not settled
 * enough to extrapolate from.
 */
function createChecks(
  targets: readonly SizeCosts[],
  costs: readonly SizeCosts[],
): readonly BenchCheck[] {
  const partial = costs.filter(({ whole }) => !whole).length;
  const bounds = [
    ["sizes that did not converge", partial, 0] as const,
    ...targets.flatMap((target) => [
      ["bytes/s", target.bytesPerSecond, TARGET_BYTES_PER_SECOND] as const,
      ["core %", target.corePercent, TARGET_CORE_PERCENT] as const,
      ["heap MB", target.heapMb, TARGET_HEAP_MB] as const,
    ]),
  ];
  return bounds.map(([name, found, bound]) => ({
    name,
    found,
    relation: "at-most",
    bound,
    target: `all control on a node, at ${TARGET_NODES} nodes`,
  }));
}
