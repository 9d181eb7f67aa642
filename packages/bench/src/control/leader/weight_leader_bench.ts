/**
 * Measures what a weight rollout costs its leader, run as a separate process,
 * against the number of engines.
 * @module
 */
import { DeadlineError } from "@briarhill/common/errors/errors";
import { SystemClock } from "@briarhill/common/time/system_clock";
import { type ChildProcessWithoutNullStreams, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  Bench,
  type BenchCheck,
  type BenchOptions,
  type BenchResult,
} from "../../bench/bench.ts";
import type { BenchRow } from "../../bench/bench_row.ts";
import { computeAt, computeSlope } from "../../capacity/slope.ts";
import { readProcessUse } from "../../routing/process_use.ts";
import { computeWireBytes } from "../membership/peer_report.ts";
import { OrderServer } from "./order_server.ts";

const MAIN = fileURLToPath(
  new URL("leader_process_main.js", import.meta.url),
);
const SIZES = [500, 1_500, 3_000];
const QUICK_SIZES = [50, 200];
const FETCHES_PER_SECOND = 1_000;
const IDLE_MS = 5_000;
const QUICK_IDLE_MS = 2_000;
/** Wait after which the connections of the first reads are closed. */
const SETTLE_MS = 6_000;
const POLL_INTERVAL_MS = 50;
const TIMEOUT_MS = 60_000;
const NEW_VERSION = 2;
const TARGET_ENGINES = 12_000;
const TARGET_ORDERS_PER_SECOND = 2_000;
/** Trainers announce new weights every 5 minutes. */
const TARGET_PERIOD_S = 300;
const TARGET_MB = 64;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;

interface LeaderCosts {
  readonly engines: number;
  readonly orders: number;
  readonly cpuUsPerOrder: number;
  readonly bytesPerOrder: number;
  readonly residentMb: number;
  /** The share of a core that the leader uses between rollouts. */
  readonly idleCorePercent: number;
}

/** Measures what a weight rollout costs its leader. */
export class WeightLeaderBench extends Bench {
  override readonly name = "weight-leader";
  override readonly summary =
    "processor time, memory and bytes of the leader of a weight rollout against engines";
  readonly #clock = new SystemClock();

  override async run(options: BenchOptions): Promise<BenchResult> {
    const costs: LeaderCosts[] = [];
    for (const engines of options.quick ? QUICK_SIZES : SIZES) {
      costs.push(await this.#measureSize(engines, options.quick));
    }
    const target = options.quick ? [] : [computeTarget(costs)];
    return {
      rows: [...costs.map(createRow), ...target],
      checks: createChecks(costs, options.quick),
    };
  }

  async #measureSize(engines: number, quick: boolean): Promise<LeaderCosts> {
    const server = await OrderServer.start();
    const child = spawn(process.execPath, [
      MAIN,
      server.getAddress(),
      String(engines),
      String(FETCHES_PER_SECOND),
    ]);
    child.stderr.pipe(process.stderr);
    try {
      await once(child.stdout, "data");
      return await this.#measureRollout(child, server, { engines, quick });
    } finally {
      child.kill("SIGKILL");
      await once(child, "exit");
      await server.stop();
    }
  }

  async #measureRollout(
    child: ChildProcessWithoutNullStreams,
    server: OrderServer,
    { engines, quick }: { readonly engines: number; readonly quick: boolean },
  ): Promise<LeaderCosts> {
    const pid = child.pid ?? 0;
    await this.#waitFor(() => server.countAt(1) === engines);
    await this.#clock.sleep(SETTLE_MS);
    const idleMs = quick ? QUICK_IDLE_MS : IDLE_MS;
    const idle = readProcessUse(pid);
    await this.#clock.sleep(idleMs);
    const before = readProcessUse(pid);
    const bytes = computeWireBytes(server.getTraffic());
    child.stdin.write(`${NEW_VERSION}\n`);
    await this.#waitFor(() => server.countAt(NEW_VERSION) === engines);
    const after = readProcessUse(pid);
    const orders = server.countOrders();
    const rolloutBytes = computeWireBytes(server.getTraffic()) - bytes;
    return {
      engines,
      orders,
      cpuUsPerOrder: (after.cpuMs - before.cpuMs) * MS_PER_SECOND / orders,
      bytesPerOrder: rolloutBytes / orders,
      residentMb: after.residentMb,
      idleCorePercent: (before.cpuMs - idle.cpuMs) / idleMs * PERCENT,
    };
  }

  async #waitFor(isDone: () => boolean): Promise<void> {
    const endMs = this.#clock.getMonotonicMs() + TIMEOUT_MS;
    while (!isDone()) {
      if (this.#clock.getMonotonicMs() > endMs) {
        throw new DeadlineError(
          "rollout leader did not reach all engines within 60 s",
        );
      }
      await this.#clock.sleep(POLL_INTERVAL_MS);
    }
  }
}

function createRow(costs: LeaderCosts): BenchRow {
  return {
    engines: costs.engines,
    orders: costs.orders,
    "µs/order": Math.round(costs.cpuUsPerOrder),
    "bytes/order": Math.round(costs.bytesPerOrder),
    "rss MB": Math.round(costs.residentMb),
    "idle core %": Number(costs.idleCorePercent.toFixed(1)),
  };
}

function readAtTarget(
  costs: readonly LeaderCosts[],
  get: (costs: LeaderCosts) => number,
): number {
  const points = costs.map((one) => ({ size: one.engines, value: get(one) }));
  return computeAt(computeSlope(points), TARGET_ENGINES);
}

/**
 * Returns the cost at the largest size, as the process is slower over its first
 * orders until its code is optimized.
 */
function getCpuUsPerOrder(costs: readonly LeaderCosts[]): number {
  return costs.at(-1)?.cpuUsPerOrder ?? 0;
}

function computeTarget(costs: readonly LeaderCosts[]): BenchRow {
  const cpuUs = getCpuUsPerOrder(costs);
  const bytes = readAtTarget(costs, (one) => one.bytesPerOrder);
  const orders = 2 * TARGET_ENGINES;
  return {
    engines: TARGET_ENGINES,
    orders,
    "µs/order": Math.round(cpuUs),
    "bytes/order": Math.round(bytes),
    "rss MB": Math.round(readAtTarget(costs, (one) => one.residentMb)),
    "idle core %": Number(
      readAtTarget(costs, (one) => one.idleCorePercent).toFixed(1),
    ),
    "core % in the busiest second": Math.round(
      cpuUs * TARGET_ORDERS_PER_SECOND / 1e6 * PERCENT,
    ),
    "mean bytes/s": Math.round(bytes * orders / TARGET_PERIOD_S),
  };
}

/** Checks only the order counts in the quick run. */
function createChecks(
  costs: readonly LeaderCosts[],
  quick: boolean,
): readonly BenchCheck[] {
  const orders = costs.map((one) => one.orders / one.engines);
  const counts: BenchCheck = {
    name: "orders for each engine",
    found: Math.max(...orders),
    relation: "at-most",
    bound: 2,
    target: "a load and a switch",
  };
  const cpuUs = getCpuUsPerOrder(costs);
  const growthMb = quick ? 0 : readAtTarget(costs, (one) => one.residentMb) -
    (costs[0]?.residentMb ?? 0);
  return quick ? [counts] : [counts, {
    name: "cores in the busiest second",
    found: cpuUs * TARGET_ORDERS_PER_SECOND / 1e6,
    relation: "at-most",
    bound: 1,
    target: `${TARGET_ORDERS_PER_SECOND} orders/s from one process`,
  }, {
    name: "rss MB beyond the first size",
    found: growthMb,
    relation: "at-most",
    bound: TARGET_MB,
    target: "64 MB for control",
  }];
}
