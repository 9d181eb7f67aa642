/**
 * Holds the schedules of all lots of a host.
 * @module
 */
import type { CustomerId, LotId } from "@briarhill/common/ids/ids";
import type { GenerationStructure } from "./generation.ts";
import type { LotOrder } from "./lot_order.ts";
import type { LotSchedule, RunningSample } from "./lot_schedule.ts";
import type { TrainerDemand } from "./trainer_shares.ts";
import type { TrainerTable } from "./trainer_table.ts";

/** The schedules of all lots of a host. */
export class LotScheduleTable {
  readonly #trainers: TrainerTable;
  readonly #order: LotOrder;
  readonly #schedules = new Map<LotId, LotSchedule>();

  constructor(trainers: TrainerTable, order: LotOrder) {
    this.#trainers = trainers;
    this.#order = order;
  }

  /** Returns the number of running generations. */
  countRunning(): number {
    let count = 0;
    for (const schedule of this.#schedules.values()) {
      count += schedule.running.size;
    }
    return count;
  }

  /** Lists all running generations. */
  listRunning(): readonly RunningSample[] {
    return [...this.#schedules.values()].flatMap(({ running }) => [
      ...running.values(),
    ]);
  }

  /**
   * Returns the schedule of a lot.
   *
   * @param lot - The lot.
   */
  getSchedule(lot: LotId): LotSchedule | undefined {
    return this.#schedules.get(lot);
  }

  /**
   * Adds the schedule of a lot.
   *
   * @param schedule - The schedule.
   */
  addSchedule(schedule: LotSchedule): void {
    this.#schedules.set(schedule.lot.id, schedule);
  }

  /**
   * Removes the schedule of a lot.
   *
   * @param lot - The lot.
   */
  removeSchedule(lot: LotId): void {
    this.#schedules.delete(lot);
  }

  /**
   * Returns a running generation and its progress, or undefined if it has
   * ended.
   *
   * @param generation - The generation.
   */
  findRunning(generation: GenerationStructure): RunningSample | undefined {
    return this.#schedules.get(generation.lot)?.running.get(generation.id);
  }

  /**
   * Lists the schedules of a customer's lots that may run now; the first lot
   * always may.
   *
   * @param customer - The customer.
   */
  listSchedules(customer: CustomerId): readonly LotSchedule[] {
    const ahead = this.#trainers.getRunAhead(customer);
    return [...this.#schedules.values()]
      .filter((schedule) => schedule.lot.customer === customer)
      .filter((_, index) => index === 0 || index <= ahead)
      .sort((a, b) => this.#order.compare(a.getStatus(), b.getStatus()));
  }

  /** Lists the current demand of each trainer; that of an absent trainer is 0. */
  listDemands(): readonly TrainerDemand[] {
    return this.#trainers.listTerms().map(([customer, terms]) => ({
      customer,
      share: terms.share,
      demand: terms.isPresent
        ? this.listSchedules(customer)
          .reduce((sum, schedule) => sum + schedule.countDemand(), 0)
        : 0,
    }));
  }
}
