/**
 * Records the histograms of calls, by customer and request class.
 * @module
 */
import { RefusedError } from "@briarhill/common/errors/errors";
import type { CustomerId, RequestClass } from "@briarhill/common/ids/ids";
import type { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";

/** Names of the call histograms, with the unit as suffix. */
export type CallMetric =
  | "call_queue_ms"
  | "call_first_token_ms"
  | "call_whole_ms"
  | "call_tokens"
  | "call_refused_retry_after_ms"
  | "call_failed_after_ms";

/** Records the call histograms of one customer and request class. */
export class CallMetrics {
  readonly #histograms: HistogramRegistry;
  readonly #customer: CustomerId;
  readonly #requestClass: RequestClass;

  constructor(
    histograms: HistogramRegistry,
    key: { readonly customer: CustomerId; readonly requestClass: RequestClass },
  ) {
    this.#histograms = histograms;
    this.#customer = key.customer;
    this.#requestClass = key.requestClass;
  }

  /**
   * Adds a value to a histogram.
   *
   * @param metric - The histogram's name.
   * @param value - The value, in the unit of the histogram.
   */
  record(metric: CallMetric, value: number): void {
    this.#histograms.addValue({
      metric,
      customer: this.#customer,
      requestClass: this.#requestClass,
    }, value);
  }

  /**
   * Records a call that was refused (its retry delay) or failed (its duration).
   *
   * @param error - The error that ended the call.
   * @param elapsedMs - The duration of the call.
   */
  recordFailure(error: unknown, elapsedMs: number): void {
    if (error instanceof RefusedError) {
      this.record("call_refused_retry_after_ms", error.retryAfterMs);
    } else {
      this.record("call_failed_after_ms", elapsedMs);
    }
  }
}
