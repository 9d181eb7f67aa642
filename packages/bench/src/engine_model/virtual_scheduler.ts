/**
 * Schedules events in virtual time with a binary heap.
 * @module
 */

/** A scheduled event that can be cancelled. */
export interface VirtualEvent {
  /** Cancels the event; does nothing once it has run. */
  cancel(): void;
}

interface HeapEntry {
  readonly dueMs: number;
  readonly sequence: number;
  callback: (() => void) | undefined;
}

/** Runs events in the order of their virtual time, ties in insertion order. */
export class VirtualScheduler {
  readonly #heap: HeapEntry[] = [];
  #nowMs = 0;
  #sequence = 0;

  /** Returns the virtual time. */
  getNowMs(): number {
    return this.#nowMs;
  }

  /**
   * Schedules an event.
   *
   * @param delayMs - The delay from now; a negative one counts as 0.
   * @param callback - The function to run.
   */
  schedule(delayMs: number, callback: () => void): VirtualEvent {
    const entry: HeapEntry = {
      dueMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#sequence++,
      callback,
    };
    this.#heap.push(entry);
    this.#sortUpwards(this.#heap.length - 1);
    return {
      cancel: () => {
        entry.callback = undefined;
      },
    };
  }

  /**
   * Runs all events that are due up to a time, then sets the virtual time to it.
   *
   * @param endMs - The virtual time to stop at.
   */
  runUntil(endMs: number): void {
    for (
      let first = this.#heap[0];
      first !== undefined && first.dueMs <= endMs;
      first = this.#heap[0]
    ) {
      this.#removeFirst();
      if (first.callback !== undefined) {
        this.#nowMs = first.dueMs;
        first.callback();
      }
    }
    this.#nowMs = Math.max(this.#nowMs, endMs);
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#sortDownwards(0);
    }
  }

  #sortUpwards(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) {
        return;
      }
      this.#updatePair(index, parent);
      index = parent;
    }
  }

  #sortDownwards(start: number): void {
    let index = start;
    while (true) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.#heap.length && this.#isBefore(child, least)) {
          least = child;
        }
      }
      if (least === index) {
        return;
      }
      this.#updatePair(index, least);
      index = least;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const x = this.#heap[a] as HeapEntry;
    const y = this.#heap[b] as HeapEntry;
    return x.dueMs === y.dueMs ? x.sequence < y.sequence : x.dueMs < y.dueMs;
  }

  #updatePair(a: number, b: number): void {
    const entry = this.#heap[a] as HeapEntry;
    this.#heap[a] = this.#heap[b] as HeapEntry;
    this.#heap[b] = entry;
  }
}
