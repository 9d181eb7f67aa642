/**
 * Picks the engine of a waiting sample. A sample that has events must go on at the
 * software version that generated them, or begin again.
 * @module
 */
import type { Logger } from "@briarhill/common/logging/logger";
import type { Clock } from "@briarhill/common/time/clock";
import type { SampleTask } from "@briarhill/rollout/dispatch/sample_task";
import type { LotRequest } from "@briarhill/rollout/ledger/lot_request";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";
import type { RouteStructure } from "@briarhill/routing/table/route";
import type { EnginePicker } from "./engine_picker.ts";

/** The usual time to generate one event, in milliseconds. */
const REGENERATION_MS = 40;

/** Options of {@link pickForTask}. */
export interface TaskPickOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly picker: EnginePicker;
  readonly lot: LotRequest;
  readonly route: RouteStructure;
}

/** The engine of a sample, or undefined if it has to wait. */
export interface TaskPick {
  readonly engine: EndpointStructure | undefined;
  /** Whether other samples may find an engine although this one has to wait. */
  readonly canOthersStart: boolean;
}

/**
 * Picks the engine of a waiting sample. Discards its events if their software
 * version is gone, or if engines of another version are available and it has waited
 * for longer than the events take to generate.
 *
 * @example
 * ```ts
 * declare const task: SampleTask;
 * declare const options: TaskPickOptions;
 *
 * const { engine } = pickForTask(task, options);
 * ```
 * @param task - The task of the sample.
 * @param options - The lot, its route and the picker.
 */
export function pickForTask(
  task: SampleTask,
  options: TaskPickOptions,
): TaskPick {
  const { picker, lot, route } = options;
  const { softwareVersion } = task;
  const engine = picker.pickEngine(lot, { route, softwareVersion });
  if (engine !== undefined || softwareVersion === undefined) {
    return { engine, canOthersStart: engine !== undefined };
  }
  const isGone = !picker.hasSoftwareVersion(softwareVersion, route);
  const other = picker.pickEngine(lot, { route, softwareVersion: undefined });
  const hasWaited = hasWaitedEnough(task, options.clock.getMonotonicMs());
  if (isGone || (hasWaited && other !== undefined)) {
    options.logger.info("sample-begun-again", {
      lot: lot.id,
      sample: task.request.id,
      softwareVersion,
      isGone,
      events: task.eventCount,
    });
    task.clear();
    return { engine: other, canOthersStart: other !== undefined };
  }
  return { engine: undefined, canOthersStart: true };
}

/** A task that another host or lot began waits from its first pick on. */
function hasWaitedEnough(task: SampleTask, nowMs: number): boolean {
  task.notBeforeMs ||= nowMs;
  return nowMs - task.notBeforeMs > task.eventCount * REGENERATION_MS;
}
