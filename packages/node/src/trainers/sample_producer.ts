/**
 * Produces the samples of all lots that this host owns: schedules generations and
 * runs them on all members.
 * @module
 */
import type { CustomerId, HostId, ModelName } from "@briarhill/common/ids/ids";
import type { WantedSlot } from "@briarhill/rollout/delivery/owner_command";
import type { SampleEnd } from "@briarhill/rollout/assignment/sample_work";
import type { SamplePrefix } from "@briarhill/rollout/samples/sample_assembly";
import type {
  GenerationStructure,
  ScheduleCommand,
} from "@briarhill/rollout/scheduling/generation";
import type { NodeContext } from "../node/node_context.ts";
import {
  buildWork,
  isSampleOf,
  type ProducedLot,
  type RunningGeneration,
} from "./running_generation.ts";
import { createScheduler } from "./create_scheduler.ts";
import { RetainedPrefixes } from "./retained_prefixes.ts";
import { RunningGenerations } from "./running_generations.ts";
import type { SampleDispatcher, SampleOutcome } from "./sample_dispatcher.ts";
import { buildTrainerTerms } from "./training_terms.ts";
import type { TrainingCapacity } from "./training_capacity.ts";

/** Options of `SampleProducer`. */
export interface SampleProducerOptions {
  readonly dispatcher: SampleDispatcher;
  readonly capacity: TrainingCapacity;
}

/** Schedules the generations of all lots that this host owns. */
export class SampleProducer {
  readonly #context: NodeContext;
  readonly #options: SampleProducerOptions;
  readonly #scheduler = createScheduler();
  readonly #lots = new Map<string, ProducedLot>();
  readonly #running = new RunningGenerations();
  readonly #prefixes = new RetainedPrefixes();
  readonly #lastActivityMs = new Map<CustomerId, number>();
  #isStopped = false;

  constructor(context: NodeContext, options: SampleProducerOptions) {
    this.#context = context;
    this.#options = options;
    options.dispatcher.subscribe((outcomes) => {
      outcomes.forEach((outcome) => this.#handleOutcome(outcome));
      this.advance();
    });
  }

  /**
   * Records that a trainer has made a call.
   *
   * @param customer - The trainer's customer.
   */
  recordActivity(customer: CustomerId): void {
    this.#lastActivityMs.set(customer, this.#context.clock.getMonotonicMs());
  }

  /**
   * Adds a lot without samples; `addSlots` adds them as its owner requests them.
   *
   * @param produced - The lot.
   */
  addLot(produced: ProducedLot): void {
    const { key, lot, contract } = produced;
    const { structure } = lot;
    const nowMs = this.#context.clock.getMonotonicMs();
    this.#lots.set(key, produced);
    this.recordActivity(contract.customer);
    this.#scheduler.addLot({
      id: key,
      customer: contract.customer,
      dueMs: nowMs + structure.deadlineMs,
      samples: lot.getSampleCount(),
      samplesPerGroup: structure.samplesPerGroup,
      prompts: lot.listPromptKeys(),
    });
  }

  /**
   * Adds samples to generate. They may belong to a lot that was delivered, as its
   * trainer may have restarted.
   *
   * @param produced - The lot.
   * @param slots - The slots of the samples.
   */
  addSlots(produced: ProducedLot, slots: readonly WantedSlot[]): void {
    if (!this.#lots.has(produced.key)) {
      this.addLot(produced);
    }
    this.#scheduler.addSlots(produced.key, slots);
    this.advance();
  }

  /**
   * Removes a lot and cancels its generations.
   *
   * @param key - The lot's key.
   * @param isDelivered - Whether the trainer received all samples.
   */
  removeLot(key: string, isDelivered: boolean): void {
    const produced = this.#lots.get(key);
    if (produced !== undefined) {
      this.#lots.delete(key);
      this.#apply(this.#scheduler.removeLot(key, isDelivered));
      this.#prefixes.removeLot(key);
    }
  }

  /**
   * Handles new weights: restarts generations that now exceed the staleness bound.
   *
   * @param model - The model.
   */
  handleAnnounced(model: ModelName): void {
    const customers = [...this.#lots.values()]
      .filter(({ lot }) => lot.structure.model === model)
      .map(({ contract }) => contract.customer);
    new Set(customers).forEach((one) => this.#scheduler.handleAnnounced(one));
    this.advance();
  }

  /** Starts no further generations; called when the process stops. */
  stop(): void {
    this.#isStopped = true;
    this.#options.dispatcher.stop();
  }

  /** Starts and cancels generations as the scheduler decides. */
  advance(): void {
    const nowMs = this.#context.clock.getMonotonicMs();
    this.#setTerms(nowMs);
    if (this.#isStopped || !this.#options.dispatcher.canAssign()) {
      return;
    }
    const models = [...this.#lots.values()]
      .map(({ lot }) => lot.structure.model);
    const capacity = this.#options.capacity.getCapacity(models, nowMs);
    this.#apply(this.#scheduler.decide(capacity));
  }

  #setTerms(nowMs: number): void {
    for (const { contract } of this.#lots.values()) {
      const { customer } = contract;
      const lastActivityMs = this.#lastActivityMs.get(customer) ?? nowMs;
      const terms = buildTrainerTerms(contract, nowMs - lastActivityMs);
      this.#scheduler.setTerms(customer, terms);
      if (!terms.isPresent) {
        this.#running.listNumbers(customer)
          .forEach((number) => this.#options.dispatcher.cancelAttempt(number));
      }
    }
  }

  #apply(commands: readonly ScheduleCommand[]): void {
    for (const command of commands) {
      if (command.kind === "start") {
        this.#start(command.generation);
        continue;
      }
      const number = this.#running.getNumber(command.id);
      if (number !== undefined) {
        this.#options.dispatcher.cancelAttempt(number);
      }
    }
  }

  #start(generation: GenerationStructure): void {
    const produced = this.#lots.get(generation.lot);
    if (produced === undefined) {
      return;
    }
    const retained = this.#prefixes.takePrefix(generation);
    const prefix = generation.fromToken > 0 ? retained : undefined;
    const work = buildWork({ produced, generation }, prefix);
    const affinity = `${produced.key}/${work.group.id}`;
    const number = this.#options.dispatcher.admitAttempt(work, affinity);
    const running = { produced, generation, prefix, isGenerated: false };
    if (number === undefined) {
      this.#handleBroken(running, prefix);
    } else {
      this.#running.add(number, running);
    }
  }

  #handleOutcome(outcome: SampleOutcome): void {
    const running = this.#running.get(outcome.number);
    if (running === undefined) {
      return;
    }
    if (outcome.kind === "generated") {
      this.#handleGenerated(running, outcome.tokens);
      return;
    }
    this.#running.remove(outcome.number);
    if (outcome.kind === "withdrawn") {
      this.#handleBroken(running, running.prefix);
    } else {
      this.#handleEnd(running, outcome.end, outcome.host);
    }
  }

  #handleEnd(running: RunningGeneration, end: SampleEnd, host: HostId): void {
    if (end.kind === "finished" && isSampleOf(running, end.sample)) {
      this.#handleGenerated(running, end.sample.tokens);
      running.produced.runner.handleFinished(end.sample);
      return;
    }
    const { retryAfterMs = 0, prefix } = end.kind === "broken" ? end : {};
    if (retryAfterMs > 0) {
      this.#options.dispatcher.suspendMember(host, retryAfterMs);
      this.#context.clock.setTimer(retryAfterMs, () => this.advance());
    }
    this.#handleBroken(running, prefix);
  }

  #handleGenerated(running: RunningGeneration, tokens: number): void {
    if (!running.isGenerated) {
      running.isGenerated = true;
      const { generation } = running;
      this.#apply(this.#scheduler.handleFinished(generation, tokens));
    }
  }

  #handleBroken(
    running: RunningGeneration,
    prefix: SamplePrefix | undefined,
  ): void {
    const { produced, generation, isGenerated } = running;
    if (isGenerated) {
      // The text was complete, so the scheduler has counted the generation as ended.
      const { slot, attempt } = generation;
      const retries = [{ slot, attempt: attempt + 1 }];
      this.#scheduler.addSlots(generation.lot, retries);
      return;
    }
    const context = produced.runner.getContext();
    const isRetained = prefix !== undefined && this.#lots.has(generation.lot) &&
      produced.rule.isWithinBound(prefix.spans, context);
    if (isRetained) {
      this.#prefixes.setPrefix(generation, prefix);
    }
    this.#scheduler.handleBroken(generation, isRetained ? prefix.tokens : 0);
  }
}
