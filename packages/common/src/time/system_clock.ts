/**
 * The clock of the operating system.
 * @module
 */
import { performance } from "node:perf_hooks";
import { clearTimeout, setTimeout } from "node:timers";
import { Clock, type Timer } from "./clock.ts";

/** Reads the time of the operating system and uses the timers of Node. */
export class SystemClock extends Clock {
  override getMonotonicMs(): number {
    return performance.now();
  }

  override getWallMs(): number {
    return Date.now();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }
}
