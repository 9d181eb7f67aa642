/**
 * Tracks which samples of one lot wait and which are being generated.
 * @module
 */
import type { WantedSlot } from "../delivery/owner_command.ts";
import type { GenerationStructure, ScheduledLot } from "./generation.ts";
import type { LengthEstimator } from "./length_estimator.ts";
import type { LotStatus } from "./lot_order.ts";
import type { SampleOrder } from "./sample_order.ts";

/** A sample that waits for a slot on an engine. */
export interface WaitingSample extends WantedSlot {
  readonly fromToken: number;
  readonly expectedTokens: number;
  readonly rank: number;
}

/** A running generation and its progress. */
export interface RunningSample {
  readonly generation: GenerationStructure;
  readonly startedMs: number;
  tokens: number;
  hasDuplicate: boolean;
}

/** The waiting and the running samples of one lot. */
export class LotSchedule {
  readonly lot: ScheduledLot;
  readonly sequence: number;
  readonly running: Map<string, RunningSample> = new Map();
  readonly #order: SampleOrder;
  readonly #lengths: LengthEstimator;
  /** Sorted by ascending rank, so that the next sample is last. */
  readonly #waiting: WaitingSample[] = [];
  #remainingTokens = 0;

  constructor(
    lot: ScheduledLot,
    options: {
      readonly sequence: number;
      readonly order: SampleOrder;
      readonly lengths: LengthEstimator;
    },
  ) {
    this.lot = lot;
    this.sequence = options.sequence;
    this.#order = options.order;
    this.#lengths = options.lengths;
  }

  /** Returns the number of running generations and waiting samples. */
  countDemand(): number {
    return this.running.size + this.#waiting.length;
  }

  /** Returns the number of waiting samples. */
  countWaiting(): number {
    return this.#waiting.length;
  }

  /** Returns the status on which the lot's place in the order depends. */
  getStatus(): LotStatus {
    return {
      sequence: this.sequence,
      dueMs: this.lot.dueMs,
      remainingTokens: this.#remainingTokens,
    };
  }

  /**
   * Adds samples that are to be generated.
   *
   * @param slots - The slots.
   * @param fromToken - Number of existing tokens of each sample.
   */
  addWaiting(slots: readonly WantedSlot[], fromToken = 0): void {
    for (const wanted of slots) {
      const sample = this.#buildWaiting(wanted, fromToken);
      this.#waiting.push(sample);
      this.#remainingTokens += sample.expectedTokens;
    }
    this.#waiting.sort(compareWaiting);
  }

  /** Removes and returns the waiting sample with the best rank. */
  removeNext(): WaitingSample | undefined {
    const next = this.#waiting.pop();
    this.#remainingTokens -= next?.expectedTokens ?? 0;
    return next;
  }

  /**
   * Starts a generation of a sample.
   *
   * @param next - The sample.
   * @param start - A unique number, the current time, and the generation that it duplicates, if any.
   */
  startSample(next: WaitingSample, start: {
    readonly number: number;
    readonly nowMs: number;
    readonly duplicateOf?: string;
  }): GenerationStructure {
    const { slot, attempt, fromToken, expectedTokens } = next;
    const { number, nowMs, duplicateOf } = start;
    const generation: GenerationStructure = {
      id: `${this.lot.id}/${slot}.${attempt}#${number}`,
      lot: this.lot.id,
      slot,
      attempt,
      fromToken,
      expectedTokens,
      duplicateOf,
    };
    this.running.set(generation.id, {
      generation,
      startedMs: nowMs,
      tokens: fromToken,
      hasDuplicate: duplicateOf !== undefined,
    });
    return generation;
  }

  /**
   * Starts a second generation of a sample, from its first token, because the
   * tokens of the first generation are available only where it runs.
   *
   * @param running - The first generation.
   * @param start - A unique number, and the current time.
   */
  startDuplicate(running: RunningSample, start: {
    readonly number: number;
    readonly nowMs: number;
  }): GenerationStructure {
    const { id, slot, attempt } = running.generation;
    running.hasDuplicate = true;
    const expectedTokens = this.getExpectedTokens(slot);
    const next = {
      slot,
      attempt: attempt + 1,
      fromToken: 0,
      expectedTokens,
      rank: 0,
    };
    return this.startSample(next, { ...start, duplicateOf: id });
  }

  /**
   * Records the length of a completed sample.
   *
   * @param slot - The slot.
   * @param tokens - The length of the sample in tokens.
   */
  addFinished(slot: number, tokens: number): void {
    const group = this.#getGroup(slot);
    this.#lengths.addLength(this.lot.prompts[group] ?? "", tokens);
  }

  /**
   * Returns a running generation of a slot, if any.
   *
   * @param slot - The slot.
   */
  findRunning(slot: number): RunningSample | undefined {
    for (const running of this.running.values()) {
      if (running.generation.slot === slot) {
        return running;
      }
    }
    return undefined;
  }

  /**
   * Returns the expected length of a sample in tokens.
   *
   * @param slot - The slot.
   */
  getExpectedTokens(slot: number): number {
    const prompt = this.lot.prompts[this.#getGroup(slot)] ?? "";
    return this.#lengths.getExpected(prompt);
  }

  #buildWaiting(wanted: WantedSlot, fromToken: number): WaitingSample {
    const expected = this.getExpectedTokens(wanted.slot);
    const expectedTokens = Math.max(1, expected - fromToken);
    const rank = wanted.isUrgent === true ? Infinity : this.#order.getRank({
      slot: wanted.slot,
      expectedTokens,
    });
    return { ...wanted, fromToken, expectedTokens, rank };
  }

  #getGroup(slot: number): number {
    return Math.floor(slot / this.lot.samplesPerGroup);
  }
}

/** Sorts the best rank last; two infinite ranks are equal. */
function compareWaiting(a: WaitingSample, b: WaitingSample): number {
  return a.rank === b.rank ? b.slot - a.slot : a.rank - b.rank;
}
