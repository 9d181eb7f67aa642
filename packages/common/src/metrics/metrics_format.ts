/**
 * Formats histograms in the Prometheus text format.
 * @module
 */
import type { HistogramSummary } from "./histogram_registry.ts";

const PREFIX = "briarhill_";

/**
 * Formats histogram summaries in the Prometheus text format, as one metric of
 * type `summary` for each metric name.
 *
 * @example
 * ```ts
 * const text = formatMetrics(registry.getSummaries());
 * ```
 * @param summaries - The summaries of all histograms.
 */
export function formatMetrics(summaries: readonly HistogramSummary[]): string {
  const metrics = new Set(summaries.map(({ metric }) => metric));
  return [...metrics].map((metric) => {
    const matching = summaries.filter((summary) => summary.metric === metric);
    const lines = matching.flatMap((summary) => formatSummary(summary));
    return `# TYPE ${PREFIX}${metric} summary\n${lines.join("\n")}\n`;
  }).join("");
}

function formatSummary(summary: HistogramSummary): readonly string[] {
  const name = PREFIX + summary.metric;
  const labels = `customer=${JSON.stringify(summary.customer)},class=${
    JSON.stringify(summary.requestClass)
  }`;
  return [
    `${name}{${labels},quantile="0.5"} ${summary.p50}`,
    `${name}{${labels},quantile="0.9"} ${summary.p90}`,
    `${name}{${labels},quantile="0.99"} ${summary.p99}`,
    `${name}_sum{${labels}} ${summary.mean * summary.count}`,
    `${name}_count{${labels}} ${summary.count}`,
  ];
}
