/**
 * Records the histograms of training, one recorder per lot.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { HistogramRegistry } from "@briarhill/common/metrics/histogram_registry";
import type { PullAnswer } from "@briarhill/rollout/delivery/owner_command";
import type {
  StalenessContext,
  StalenessRule,
} from "@briarhill/rollout/staleness/staleness_rule";

/** The tail of a lot is the time from this share of its samples to the last. */
const TAIL_SHARE = 0.95;

/** Names of the histograms of training; the suffix is the unit. */
export type RolloutMetric =
  | "rollout_step_ms"
  | "rollout_idle_ms"
  | "rollout_tail_ms"
  | "rollout_staleness_versions"
  | "rollout_staleness_ms";

/** Records the histograms of one lot. */
export class RolloutMetrics {
  readonly #histograms: HistogramRegistry;
  readonly #customer: CustomerId;
  readonly #samples: number;
  readonly #startedMs: number;
  #finished = 0;
  #tailStartMs = 0;
  #lastFinishedMs = 0;
  #idleMs = 0;
  #isComplete = false;

  constructor(histograms: HistogramRegistry, lot: {
    readonly customer: CustomerId;
    readonly samples: number;
    readonly nowMs: number;
  }) {
    this.#histograms = histograms;
    this.#customer = lot.customer;
    this.#samples = lot.samples;
    this.#startedMs = lot.nowMs;
  }

  /**
   * Records a finished sample.
   *
   * @param nowMs - The monotonic time at which it finished.
   */
  addFinished(nowMs: number): void {
    this.#finished++;
    this.#lastFinishedMs = nowMs;
    if (this.#finished <= this.#samples * TAIL_SHARE) {
      this.#tailStartMs = nowMs;
    }
  }

  /**
   * Adds the wait time of a pull to the idle time of the trainer.
   *
   * @param waitedMs - The time from the pull to its response.
   */
  addWait(waitedMs: number): void {
    this.#idleMs += waitedMs;
  }

  /**
   * Records the staleness of returned samples and, with the last of them, the times
   * of the lot.
   *
   * @param answer - The response to a pull.
   * @param terms - The staleness rule, the weight versions and the time.
   */
  addAnswer(answer: PullAnswer, terms: {
    readonly rule: StalenessRule;
    readonly context: StalenessContext & { readonly nowMs: number };
  }): void {
    for (const { sample } of answer.samples) {
      const staleness = terms.rule
        .measureStaleness(sample.spans, terms.context);
      this.#record("rollout_staleness_versions", staleness.versionsBehind);
      this.#record("rollout_staleness_ms", staleness.ageMs);
    }
    if (answer.isComplete && !this.#isComplete) {
      this.#isComplete = true;
      this.#record("rollout_step_ms", terms.context.nowMs - this.#startedMs);
      this.#record("rollout_idle_ms", this.#idleMs);
      this.#record("rollout_tail_ms", this.#lastFinishedMs - this.#tailStartMs);
    }
  }

  #record(metric: RolloutMetric, value: number): void {
    const customer = this.#customer;
    const key = { metric, customer, requestClass: "rollout" as const };
    this.#histograms.addValue(key, value);
  }
}
