/**
 * Histograms per metric, customer and request class, based on hdr-histogram-js.
 * @module
 */
import type { Histogram } from "hdr-histogram-js";
// The main module of the package also loads codecs, which take 9 MB more
// memory.
import { constructorFromBucketSize } from "hdr-histogram-js/dist/JsHistogramFactory.js";
import type { CustomerId, RequestClass } from "../ids/ids.ts";

const HIGHEST_TRACKABLE_VALUE = 3_600_000;
const LOWEST_DISCERNIBLE_VALUE = 1;
const SIGNIFICANT_DIGITS = 2;
const COUNT_BITS = 32;

const HistogramOfCounts = constructorFromBucketSize(COUNT_BITS);

/** Identifies a histogram. */
export interface HistogramKey {
  /**
   * The metric's name in the catalogue, including the unit, such as
   * "call_first_token_ms".
   */
  readonly metric: string;
  readonly customer: CustomerId;
  readonly requestClass: RequestClass;
}

/** The summary statistics of a histogram. */
export interface HistogramSummary extends HistogramKey {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Holds all histograms of a process. */
export class HistogramRegistry {
  readonly #histograms = new Map<
    string,
    { readonly key: HistogramKey; readonly histogram: Histogram }
  >();

  /**
   * Records a value, rounded and clamped to the trackable range.
   *
   * @param key - The histogram to record the value in.
   * @param value - The value in the metric's unit.
   */
  addValue(key: HistogramKey, value: number): void {
    const rounded = Math.min(
      HIGHEST_TRACKABLE_VALUE,
      Math.max(0, Math.round(value)),
    );
    this.#getOrAdd(key).recordValue(rounded);
  }

  /** Returns the summary of every histogram. */
  getSummaries(): readonly HistogramSummary[] {
    return [...this.#histograms.values()].map(({ key, histogram }) => ({
      ...key,
      count: histogram.totalCount,
      mean: histogram.mean,
      p50: histogram.getValueAtPercentile(50),
      p90: histogram.getValueAtPercentile(90),
      p99: histogram.getValueAtPercentile(99),
      max: histogram.maxValue,
    }));
  }

  #getOrAdd(key: HistogramKey): Histogram {
    const id = `${key.metric}\n${key.customer}\n${key.requestClass}`;
    const found = this.#histograms.get(id);
    if (found !== undefined) {
      return found.histogram;
    }
    const histogram = new HistogramOfCounts(
      LOWEST_DISCERNIBLE_VALUE,
      HIGHEST_TRACKABLE_VALUE,
      SIGNIFICANT_DIGITS,
    );
    histogram.autoResize = true;
    this.#histograms.set(id, { key, histogram });
    return histogram;
  }
}
