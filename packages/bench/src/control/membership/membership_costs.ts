/**
 * Computes the costs of a node from the reports of the peer processes.
 * @module
 */
import { computeAt, computeSlope } from "../../capacity/slope.ts";
import { computeWireBytes, type PeerReport } from "./peer_report.ts";

/** The number of nodes at the target size. */
export const TARGET_NODES = 370;

const SECONDS_A_DAY = 86_400;
/** Host failures per day, plus restarts and replacements per day. */
const TARGET_EVENTS_A_DAY = 230 + 3_400;
const BYTES_PER_MB = 1_048_576;

/** The costs at one size, each the mean over all processes. */
export interface SizeCosts {
  readonly nodes: number;
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
  readonly corePercent: number;
  readonly heapMb: number;
  readonly rssMb: number;
  /** Bytes above the idle rate that one crash and restart cause. */
  readonly eventBytes: number;
  readonly whole: boolean;
}

/** The reports of the processes at the start and the end of a time window. */
export interface CostWindow {
  readonly before: readonly PeerReport[];
  readonly after: readonly PeerReport[];
  readonly seconds: number;
}

function computeMean(
  reports: readonly PeerReport[],
  getValue: (report: PeerReport) => number,
): number {
  const sum = reports.reduce((total, report) => total + getValue(report), 0);
  return sum / reports.length;
}

function computeGrowth(
  window: CostWindow,
  getValue: (report: PeerReport) => number,
): number {
  return computeMean(window.after, getValue) -
    computeMean(window.before, getValue);
}

/**
 * Computes the mean costs per process at one size.
 *
 * @example
 * ```ts
 * const costs = computeCosts(12, { idle, churn });
 * ```
 * @param nodes - The number of nodes.
 * @param windows - A window without events, and one with a crash and a restart.
 */
export function computeCosts(
  nodes: number,
  windows: { readonly idle: CostWindow; readonly churn: CostWindow },
): SizeCosts {
  const { idle, churn } = windows;
  const bytesPerSecond = computeGrowth(idle, computeWireBytes) / idle.seconds;
  return {
    nodes,
    bytesPerSecond,
    messagesPerSecond: computeGrowth(
      idle,
      ({ messagesIn, messagesOut }) => messagesIn + messagesOut,
    ) / idle.seconds,
    corePercent: computeGrowth(idle, ({ cpuUs }) => cpuUs) / 1e4 / idle.seconds,
    heapMb: computeMean(idle.after, ({ heapBytes }) => heapBytes) /
      BYTES_PER_MB,
    rssMb: computeMean(idle.after, ({ rssBytes }) => rssBytes) / BYTES_PER_MB,
    eventBytes: computeGrowth(churn, computeWireBytes) -
      bytesPerSecond * churn.seconds,
    whole: [...idle.after, ...churn.after].every((one) => one.alive === nodes),
  };
}

/**
 * Fits a line through each cost and extrapolates it to the target size.
 *
 * @example
 * ```ts
 * const target = computeTarget(costs);
 * ```
 * @param costs - The costs of at least two sizes.
 */
export function computeTarget(costs: readonly SizeCosts[]): SizeCosts {
  const read = (getValue: (cost: SizeCosts) => number) =>
    computeAt(
      computeSlope(
        costs.map((cost) => ({ size: cost.nodes, value: getValue(cost) })),
      ),
      TARGET_NODES,
    );
  // Events cost about the same at all sizes, so the highest cost is used.
  const eventBytes = Math.max(...costs.map((cost) => cost.eventBytes));
  return {
    nodes: TARGET_NODES,
    bytesPerSecond: read((cost) => cost.bytesPerSecond) +
      eventBytes * TARGET_EVENTS_A_DAY / SECONDS_A_DAY,
    messagesPerSecond: read((cost) => cost.messagesPerSecond),
    corePercent: read((cost) => cost.corePercent),
    heapMb: read((cost) => cost.heapMb),
    rssMb: read((cost) => cost.rssMb),
    eventBytes,
    whole: costs.every(({ whole }) => whole),
  };
}
