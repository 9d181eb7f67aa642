/**
 * Measures the staleness of samples against the bound of a contract.
 * @module
 */
import type { StalenessStructure } from "@briarhill/contract/contract/contract_structure";
import { getOldestVersion, type VersionSpan } from "../samples/version_span.ts";
import type { VersionHistory } from "./version_history.ts";

/** The staleness of a sample, which is that of its oldest span. */
export interface Staleness {
  readonly versionsBehind: number;
  /** Time since the oldest span's version was replaced; 0 if it is newest. */
  readonly ageMs: number;
}

/** The announced versions and the time at which staleness is measured. */
export interface StalenessContext {
  readonly history: VersionHistory;
  /** The wall-clock time. */
  readonly wallMs: number;
}

/** Checks samples against the staleness bound of a contract. */
export class StalenessRule {
  readonly #bound: StalenessStructure;

  constructor(bound: StalenessStructure) {
    this.#bound = bound;
  }

  /**
   * Measures the staleness of a sample. Versions newer than all announced ones
   * count as the newest.
   *
   * @param spans - The sample's version spans.
   * @param context - The announced versions and the time.
   */
  measureStaleness(
    spans: readonly VersionSpan[],
    context: StalenessContext,
  ): Staleness {
    const oldest = getOldestVersion(spans);
    if (oldest === undefined) {
      return { versionsBehind: 0, ageMs: 0 };
    }
    const replacedAtMs = context.history.getReplacedAtMs(oldest);
    return {
      versionsBehind: context.history.countNewer(oldest),
      ageMs: replacedAtMs === undefined
        ? 0
        : Math.max(0, context.wallMs - replacedAtMs),
    };
  }

  /**
   * Returns whether a sample is within the staleness bound at the time of its
   * delivery. For a sample that is still being generated, pass the time of its
   * earliest possible delivery.
   *
   * @param spans - The sample's version spans.
   * @param context - The announced versions and the time of delivery.
   */
  isWithinBound(
    spans: readonly VersionSpan[],
    context: StalenessContext,
  ): boolean {
    const { versionsBehind, ageMs } = this.measureStaleness(spans, context);
    return versionsBehind <= this.#bound.maxVersionsBehind &&
      ageMs <= this.#bound.maxAgeMs;
  }
}
