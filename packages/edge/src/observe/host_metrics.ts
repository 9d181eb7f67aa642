/**
 * What a host counts and measures.
 * @module
 */
import { CounterRegistry } from "@briarhill/common/metrics/counter_registry";
import { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";
import { formatMetrics } from "@briarhill/common/metrics/metrics_format";

/** What a host counts and measures; the customer of a histogram is the name of the route. */
export class HostMetrics {
  readonly #counters = new CounterRegistry();
  readonly #histograms = new HistogramRegistry();

  /**
   * Records a call that has its final answer.
   *
   * @param route - The route's name.
   * @param outcome - How it ended, such as "answered".
   * @param tookMs - From its arrival to the answer, in milliseconds.
   */
  addCall(route: string, outcome: string, tookMs: number): void {
    this.#counters.addOne("calls_total", outcome);
    const key = { customer: route, requestClass: "service" as const };
    this.#histograms.addValue({ metric: "call_whole_ms", ...key }, tookMs);
  }

  /**
   * Records a lot that was handed in.
   *
   * @param route - The route's name.
   * @param outcome - What became of it, such as "appended".
   * @param tookMs - From its arrival to the answer, in milliseconds.
   */
  addHandIn(route: string, outcome: string, tookMs: number): void {
    this.#counters.addOne("lots_total", outcome);
    const key = { customer: route, requestClass: "rollout" as const };
    this.#histograms.addValue({ metric: "rollout_hand_in_ms", ...key }, tookMs);
  }

  /**
   * Records a run of a sample.
   *
   * @param model - The model.
   * @param end - How it ended, such as "finished".
   * @param tookMs - How long it took, in milliseconds.
   */
  addRun(model: string, end: string, tookMs: number): void {
    this.#counters.addOne("sample_runs_total", end);
    const key = { customer: model, requestClass: "rollout" as const };
    this.#histograms.addValue({ metric: "rollout_run_ms", ...key }, tookMs);
  }

  /**
   * Counts an order to an engine.
   *
   * @param reply - What the engine answered.
   */
  addOrder(reply: string): void {
    this.#counters.addOne("orders_total", reply);
  }

  /** Returns everything as Prometheus text. */
  formatAll(): string {
    return this.#counters.formatCounters() +
      formatMetrics(this.#histograms.getSummaries());
  }
}
