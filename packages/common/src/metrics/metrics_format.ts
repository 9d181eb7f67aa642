/**
 * Histograms as Prometheus text.
 * @module
 */
import type { HistogramSummary } from "./histogram_registry.ts";

const PREFIX = "briarhill_";

/**
 * Formats summaries as Prometheus text, a summary metric for each histogram.
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
    const own = summaries.filter((summary) => summary.metric === metric);
    const lines = own.flatMap((summary) => formatSummary(summary));
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
