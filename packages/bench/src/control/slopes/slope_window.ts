/**
 * Reads the counts of a node and computes what control costs per second.
 * @module
 */
import { computeWireBytes } from "../membership/peer_report.ts";
import { readProcessUse } from "../../routing/process_use.ts";
import {
  SLOPE_PORTS,
  type SlopePort,
  type SlopeSystem,
} from "./slope_system.ts";

const MS_PER_SECOND = 1_000;
const PERCENT = 100;

/** The counts of a system since its start. */
export interface SlopeCounts {
  readonly atMs: number;
  readonly wireBytes: Readonly<Record<SlopePort, number>>;
  readonly cpuMs: number;
  readonly residentMb: number;
  readonly appends: number;
}

/** The costs per second at one size. */
export interface SlopeCosts {
  readonly bytesPerSecond: Readonly<Record<SlopePort, number>>;
  readonly corePercent: number;
  readonly residentMb: number;
  readonly appendsPerSecond: number;
}

/**
 * Reads all counts of a system.
 *
 * @example
 * ```ts
 * const before = readSlopeCounts(system, clock.getMonotonicMs());
 * ```
 * @param system - The measured system.
 * @param atMs - The monotonic time of the reading.
 */
export function readSlopeCounts(
  system: SlopeSystem,
  atMs: number,
): SlopeCounts {
  const { cpuMs, residentMb } = readProcessUse(system.node.getPid());
  return {
    atMs,
    wireBytes: buildForPorts((port) =>
      computeWireBytes(system.relays[port].getTraffic())
    ),
    cpuMs,
    residentMb,
    appends: system.countAppends(),
  };
}

/**
 * Computes the costs per second between two readings.
 *
 * @example
 * ```ts
 * const costs = computeSlopeCosts(before, after);
 * ```
 * @param before - The earlier reading.
 * @param after - The later reading.
 */
export function computeSlopeCosts(
  before: SlopeCounts,
  after: SlopeCounts,
): SlopeCosts {
  const passedMs = after.atMs - before.atMs;
  const seconds = passedMs / MS_PER_SECOND;
  return {
    bytesPerSecond: buildForPorts((port) =>
      (after.wireBytes[port] - before.wireBytes[port]) / seconds
    ),
    corePercent: (after.cpuMs - before.cpuMs) / passedMs * PERCENT,
    residentMb: after.residentMb,
    appendsPerSecond: (after.appends - before.appends) / seconds,
  };
}

function buildForPorts(
  getValue: (port: SlopePort) => number,
): Readonly<Record<SlopePort, number>> {
  const entries = SLOPE_PORTS.map((port) => [port, getValue(port)] as const);
  return Object.fromEntries(entries) as Record<SlopePort, number>;
}
