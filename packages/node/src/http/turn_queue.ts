/**
 * Limits the number of tasks that are started in one turn of the event loop.
 * @module
 */
import { setImmediate } from "node:timers";

/**
 * Starts a limited number of tasks in each turn of the event loop. The event
 * loop accepts one connection per turn: if a turn started all pending requests,
 * new connections to a busy host would wait for many seconds.
 */
export class TurnQueue {
  readonly #maxTasks: number;
  #pending: (() => void)[] = [];
  #startedInTurn = 0;

  constructor(maxTasks: number) {
    this.#maxTasks = maxTasks;
  }

  /**
   * Runs a task in this turn, or in a later one if this turn's limit is reached.
   *
   * @param task - The function to run.
   */
  add(task: () => void): void {
    if (this.#startedInTurn === 0) {
      setImmediate(() => this.#advance());
    }
    if (this.#startedInTurn < this.#maxTasks && this.#pending.length === 0) {
      this.#startedInTurn++;
      task();
    } else {
      this.#pending.push(task);
    }
  }

  #advance(): void {
    const due = this.#pending.slice(0, this.#maxTasks);
    this.#pending = this.#pending.slice(due.length);
    this.#startedInTurn = due.length;
    if (due.length > 0) {
      setImmediate(() => this.#advance());
    }
    due.forEach((task) => task());
  }
}
