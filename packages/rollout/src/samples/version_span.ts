/**
 * Version spans: which weights produced which tokens of a sample.
 * @module
 */
import type { WeightVersion } from "@briarhill/common/ids/ids";

/** A run of tokens produced by one version of the weights. */
export interface VersionSpan {
  readonly fromToken: number;
  /** The offset after the last token. */
  readonly toToken: number;
  readonly version: WeightVersion;
}

/**
 * Adds a span after others; a span of the same version extends the last one.
 *
 * @example
 * ```ts
 * const spans = addSpan([], { fromToken: 0, toToken: 8, version: 3 });
 * ```
 * @param spans - The spans so far.
 * @param span - The span that follows them.
 */
export function addSpan(
  spans: readonly VersionSpan[],
  span: VersionSpan,
): readonly VersionSpan[] {
  const last = spans.at(-1);
  if (last?.version !== span.version) {
    return [...spans, span];
  }
  return [...spans.slice(0, -1), { ...last, toToken: span.toToken }];
}

/**
 * Returns the oldest version of some spans, or undefined when there are none.
 *
 * @example
 * ```ts
 * const oldest = getOldestVersion(sample.spans);
 * ```
 * @param spans - The spans of a sample.
 */
export function getOldestVersion(
  spans: readonly VersionSpan[],
): WeightVersion | undefined {
  return spans.length === 0
    ? undefined
    : Math.min(...spans.map((span) => span.version));
}
