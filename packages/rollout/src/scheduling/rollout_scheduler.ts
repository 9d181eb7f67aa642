/**
 * Decides which samples are generated next, across all lots of a host.
 * @module
 */
import type { CustomerId, LotId } from "@briarhill/common/ids/ids";
import type { WantedSlot } from "../delivery/owner_command.ts";
import type {
  GenerationStructure,
  ScheduleCommand,
  ScheduledLot,
} from "./generation.ts";
import { LengthEstimator } from "./length_estimator.ts";
import { LotSchedule } from "./lot_schedule.ts";
import type {
  SchedulerCapacity,
  SchedulerPolicies,
  TrainerTerms,
} from "./scheduler_policies.ts";
import { GenerationStarter } from "./generation_starter.ts";
import { computeTrainerQuotas } from "./trainer_shares.ts";
import { TrainerTable } from "./trainer_table.ts";
import { LotScheduleTable } from "./lot_schedule_table.ts";

/** Decides which samples are generated next, across all lots of a host. */
export class RolloutScheduler {
  readonly #policies: SchedulerPolicies;
  readonly #lengths = new LengthEstimator();
  readonly #trainers = new TrainerTable();
  readonly #schedules: LotScheduleTable;
  readonly #starter: GenerationStarter;
  #sequence = 0;

  constructor(policies: SchedulerPolicies) {
    this.#policies = policies;
    this.#schedules = new LotScheduleTable(this.#trainers, policies.lotOrder);
    this.#starter = new GenerationStarter(policies, this.#schedules);
  }

  /** Returns the number of running generations. */
  countRunning(): number {
    return this.#schedules.countRunning();
  }

  /**
   * Sets the terms of a trainer.
   *
   * @param customer - The trainer's customer.
   * @param terms - Its terms.
   */
  setTerms(customer: CustomerId, terms: TrainerTerms): void {
    this.#trainers.setTerms(customer, terms);
  }

  /**
   * Adds a lot; its samples are added when its owner requests them.
   *
   * @param lot - The lot.
   */
  addLot(lot: ScheduledLot): void {
    const sequence = this.#sequence++;
    const order = this.#policies.sampleOrder;
    const lengths = this.#lengths;
    this.#schedules.addSchedule(
      new LotSchedule(lot, { sequence, order, lengths }),
    );
  }

  /**
   * Adds samples that are to be generated.
   *
   * @param lot - The lot.
   * @param slots - The slots.
   */
  addSlots(lot: LotId, slots: readonly WantedSlot[]): void {
    this.#schedules.getSchedule(lot)?.addWaiting(slots);
  }

  /**
   * Removes a lot that is delivered, cancelled or lost, and cancels its
   * generations.
   *
   * @param id - The lot.
   * @param isDelivered - Whether the trainer received the complete lot.
   */
  removeLot(id: LotId, isDelivered: boolean): readonly ScheduleCommand[] {
    const schedule = this.#schedules.getSchedule(id);
    if (schedule === undefined) {
      return [];
    }
    this.#schedules.removeSchedule(id);
    if (isDelivered) {
      this.#trainers.handleDelivered(schedule.lot.customer);
    }
    return [...schedule.running.keys()].map((key) => ({
      kind: "cancel",
      id: key,
    }));
  }

  /**
   * Handles new weights announced by a customer's trainer.
   *
   * @param customer - The customer.
   */
  handleAnnounced(customer: CustomerId): void {
    this.#trainers.handleAnnounced(customer);
  }

  /**
   * Handles the progress of a generation.
   *
   * @param generation - The generation.
   * @param tokens - The total number of tokens of the sample so far.
   */
  handleProgress(generation: GenerationStructure, tokens: number): void {
    const running = this.#schedules.findRunning(generation);
    if (running !== undefined) {
      running.tokens = tokens;
    }
  }

  /**
   * Handles a completed sample; cancels its duplicate, if any.
   *
   * @param generation - The generation that completed it.
   * @param tokens - The length of the sample in tokens.
   */
  handleFinished(
    generation: GenerationStructure,
    tokens: number,
  ): readonly ScheduleCommand[] {
    const schedule = this.#schedules.getSchedule(generation.lot);
    const running = schedule?.running.get(generation.id);
    if (schedule === undefined || running === undefined) {
      return [];
    }
    schedule.running.delete(generation.id);
    schedule.addFinished(generation.slot, tokens);
    return running.hasDuplicate
      ? this.#cancelSlot(schedule, generation.slot)
      : [];
  }

  /**
   * Handles an interrupted generation. Unless a duplicate runs, its sample
   * waits again, and resumes after its tokens if the policies allow it.
   *
   * @param generation - The generation.
   * @param tokens - Number of tokens that may be retained; 0 to start from scratch.
   */
  handleBroken(generation: GenerationStructure, tokens: number): void {
    const schedule = this.#schedules.getSchedule(generation.lot);
    const running = schedule?.running.get(generation.id);
    if (schedule === undefined || running === undefined) {
      return;
    }
    schedule.running.delete(generation.id);
    const duplicate = running.hasDuplicate
      ? schedule.findRunning(generation.slot)
      : undefined;
    if (duplicate !== undefined) {
      duplicate.hasDuplicate = false;
      return;
    }
    const { slot, attempt } = generation;
    const retainedTokens = this.#policies.resumes ? tokens : 0;
    const next = { slot, attempt: attempt + 1, isUrgent: retainedTokens > 0 };
    schedule.addWaiting([next], retainedTokens);
  }

  /**
   * Decides which generations are started and cancelled now.
   *
   * @param capacity - The slots that training may use.
   */
  decide(capacity: SchedulerCapacity): readonly ScheduleCommand[] {
    this.#trainers.setVersionsBehind(capacity.servedVersionsBehind);
    const demands = this.#schedules.listDemands();
    const quotas = computeTrainerQuotas(demands, capacity.slots);
    const commands: ScheduleCommand[] = [];
    let free = capacity.slots - this.countRunning();
    for (const { customer } of demands) {
      const schedules = this.#schedules.listSchedules(customer);
      const used = schedules.reduce(
        (sum, schedule) => sum + schedule.running.size,
        0,
      );
      const quota = Math.min(free, (quotas.get(customer) ?? 0) - used);
      const started = this.#starter.startAll(schedules, {
        ...capacity,
        free: quota,
      });
      commands.push(...started);
      free -= started.length;
    }
    for (const { customer, demand } of demands) {
      const schedules = this.#schedules.listSchedules(customer);
      if (
        demand > 0 &&
        schedules.every((schedule) => schedule.countWaiting() === 0)
      ) {
        const duplicates = this.#starter.startDuplicates(schedules[0], {
          ...capacity,
          free,
        });
        commands.push(...duplicates);
        free -= duplicates.length;
      }
    }
    return commands;
  }

  #cancelSlot(schedule: LotSchedule, slot: number): readonly ScheduleCommand[] {
    const duplicate = schedule.findRunning(slot);
    if (duplicate === undefined) {
      return [];
    }
    schedule.running.delete(duplicate.generation.id);
    return [{ kind: "cancel", id: duplicate.generation.id }];
  }
}
