/**
 * Starts generations on the slots that a trainer may use.
 * @module
 */
import type { ScheduleCommand } from "./generation.ts";
import type { LotSchedule } from "./lot_schedule.ts";
import type {
  SchedulerCapacity,
  SchedulerPolicies,
} from "./scheduler_policies.ts";
import { computeNewTokenRate, listStragglers } from "./straggler.ts";
import type { LotScheduleTable } from "./lot_schedule_table.ts";

/** The capacity, and the number of slots that may still be used. */
export interface FreeCapacity extends SchedulerCapacity {
  /** Number of slots that may still be used. */
  readonly free: number;
}

/** Starts generations on the slots that a trainer may use. */
export class GenerationStarter {
  readonly #policies: SchedulerPolicies;
  readonly #schedules: LotScheduleTable;
  #nextNumber = 0;

  constructor(policies: SchedulerPolicies, schedules: LotScheduleTable) {
    this.#policies = policies;
    this.#schedules = schedules;
  }

  /**
   * Starts waiting samples; duplicates of the first lot start before samples of
   * lots that run ahead.
   *
   * @param schedules - The schedules of one trainer's lots, in their order.
   * @param capacity - The capacity, and the number of slots that may still be used.
   */
  startAll(
    schedules: readonly LotSchedule[],
    capacity: FreeCapacity,
  ): readonly ScheduleCommand[] {
    const commands: ScheduleCommand[] = [];
    for (const [index, schedule] of schedules.entries()) {
      const getRemainingCapacity = () => ({
        ...capacity,
        free: capacity.free - commands.length,
      });
      commands.push(...this.#startWaiting(schedule, getRemainingCapacity()));
      if (index === 0) {
        commands.push(
          ...this.startDuplicates(schedule, getRemainingCapacity()),
        );
      }
    }
    return commands;
  }

  /**
   * Starts duplicates of a lot's stragglers, once none of its samples is
   * waiting.
   *
   * @param schedule - The schedule of the lot.
   * @param capacity - The capacity, and the number of slots that may still be used.
   */
  startDuplicates(
    schedule: LotSchedule | undefined,
    capacity: FreeCapacity,
  ): readonly ScheduleCommand[] {
    if (
      schedule === undefined || schedule.countWaiting() > 0 ||
      capacity.free <= 0
    ) {
      return [];
    }
    const { nowMs } = capacity;
    const policy = this.#policies.duplicates;
    const newTokensPerMs = computeNewTokenRate(
      this.#schedules.listRunning(),
      capacity,
    );
    return listStragglers(schedule, { policy, nowMs, newTokensPerMs })
      .slice(0, capacity.free)
      .map((straggler) => {
        const start = { number: this.#nextNumber++, nowMs };
        const generation = schedule.startDuplicate(straggler, start);
        return { kind: "start", generation };
      });
  }

  #startWaiting(
    schedule: LotSchedule,
    { free, nowMs }: FreeCapacity,
  ): readonly ScheduleCommand[] {
    const commands: ScheduleCommand[] = [];
    while (commands.length < free && schedule.countWaiting() > 0) {
      const next = schedule.removeNext();
      if (next !== undefined) {
        const start = { number: this.#nextNumber++, nowMs };
        const generation = schedule.startSample(next, start);
        commands.push({ kind: "start", generation });
      }
    }
    return commands;
  }
}
