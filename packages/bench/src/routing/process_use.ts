/**
 * Reads the resource usage of a process from the kernel's counters.
 * @module
 */
import { readFileSync } from "node:fs";

const CLOCK_TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const KB_PER_MB = 1024;

/** The resource usage of a process. */
export interface ProcessUse {
  /** Processor time of all threads since the start of the process. */
  readonly cpuMs: number;
  readonly residentMb: number;
}

/**
 * Reads the resource usage of a process.
 *
 * @example
 * ```ts
 * const { cpuMs } = readProcessUse(process.pid);
 * ```
 * @param pid - The id of the process.
 */
export function readProcessUse(pid: number): ProcessUse {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The name in parentheses may contain spaces; the fields after it do not.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS_FIELD]) +
    Number(fields[SYSTEM_TICKS_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuMs: ticks * 1000 / CLOCK_TICKS_PER_SECOND,
    residentMb: residentKb / KB_PER_MB,
  };
}
