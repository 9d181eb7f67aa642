/**
 * Counters with a single label, exported as Prometheus metrics.
 * @module
 */

const PREFIX = "briarhill_";

/** Holds all counters of a process. */
export class CounterRegistry {
  readonly #counters = new Map<string, Map<string, number>>();

  /**
   * Increments a counter by one.
   *
   * @param metric - The metric's name in the catalogue, such as "calls_total".
   * @param label - The kind of event, such as "answered".
   */
  addOne(metric: string, label: string): void {
    const counter = this.#counters.get(metric) ?? new Map<string, number>();
    this.#counters.set(metric, counter);
    counter.set(label, (counter.get(label) ?? 0) + 1);
  }

  /**
   * Returns the value of a counter.
   *
   * @param metric - The metric's name.
   * @param label - The kind of event.
   */
  getCount(metric: string, label: string): number {
    return this.#counters.get(metric)?.get(label) ?? 0;
  }

  /** Formats all counters in the Prometheus text format. */
  formatCounters(): string {
    return [...this.#counters].map(([metric, counter]) => {
      const lines = [...counter].map(([label, count]) =>
        `${PREFIX}${metric}{kind=${JSON.stringify(label)}} ${count}\n`
      );
      return `# TYPE ${PREFIX}${metric} counter\n${lines.join("")}`;
    }).join("");
  }
}
