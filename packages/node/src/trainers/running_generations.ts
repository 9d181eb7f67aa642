/**
 * Indexes the generations that members run for lots of this host.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { RunningGeneration } from "./running_generation.ts";

/** The generations that members run, by dispatcher number and generation id. */
export class RunningGenerations {
  readonly #running = new Map<number, RunningGeneration>();
  readonly #numbers = new Map<string, number>();

  /**
   * Adds a generation.
   *
   * @param number - The number that the dispatcher assigned.
   * @param running - The generation.
   */
  add(number: number, running: RunningGeneration): void {
    this.#running.set(number, running);
    this.#numbers.set(running.generation.id, number);
  }

  /**
   * Returns the generation with a number.
   *
   * @param number - The number that the dispatcher assigned.
   */
  get(number: number): RunningGeneration | undefined {
    return this.#running.get(number);
  }

  /**
   * Removes a generation that has ended.
   *
   * @param number - The number that the dispatcher assigned.
   */
  remove(number: number): void {
    const running = this.#running.get(number);
    this.#running.delete(number);
    if (running !== undefined) {
      this.#numbers.delete(running.generation.id);
    }
  }

  /**
   * Returns the number of a generation.
   *
   * @param id - The id of the generation.
   */
  getNumber(id: string): number | undefined {
    return this.#numbers.get(id);
  }

  /**
   * Lists the numbers of a customer's generations.
   *
   * @param customer - The customer.
   */
  listNumbers(customer: CustomerId): readonly number[] {
    return [...this.#running]
      .filter(([, { produced }]) => produced.contract.customer === customer)
      .map(([number]) => number);
  }
}
