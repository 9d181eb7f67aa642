/**
 * The structure, id and hash of a finished sample. Records in the log refer to
 * a sample by its hash, so that a change to the hashed content makes settled
 * samples undeliverable.
 * @module
 */
import { createHash } from "node:crypto";
import type { LotId, SampleId } from "@briarhill/common/ids/ids";
import type { VersionSpan } from "./version_span.ts";

/** Why the generation of a sample ended. */
export type SampleFinish = "stop" | "length";

/** A finished sample of a lot. */
export interface SampleStructure {
  readonly id: SampleId;
  readonly lot: LotId;
  /** The index of the sample within its lot. */
  readonly slot: number;
  /** The number of attempts started for the slot, including this one. */
  readonly attempt: number;
  readonly group: string;
  readonly indexInGroup: number;
  readonly text: string;
  readonly tokens: number;
  readonly finishReason: SampleFinish;
  readonly spans: readonly VersionSpan[];
  readonly score?: number;
}

/**
 * Builds the id of a sample.
 *
 * @example
 * ```ts
 * const id = buildSampleId("step-7", { slot: 12, attempt: 1 });
 * ```
 * @param lot - The id of the lot.
 * @param generation - The slot, and the attempt that generated the sample.
 */
export function buildSampleId(
  lot: LotId,
  generation: { readonly slot: number; readonly attempt: number },
): SampleId {
  return `${lot}/${generation.slot}.${generation.attempt}`;
}

/**
 * Computes the SHA-256 of a sample, including its spans and its score.
 *
 * @example
 * ```ts
 * const hash = hashSample(sample);
 * ```
 * @param sample - The sample to hash.
 */
export function hashSample(sample: SampleStructure): string {
  const content = [
    sample.id,
    sample.group,
    sample.indexInGroup,
    sample.text,
    sample.tokens,
    sample.finishReason,
    sample.spans.map((span) => [span.fromToken, span.toToken, span.version]),
    sample.score ?? null,
  ];
  return createHash("sha256").update(JSON.stringify(content))
    .digest("base64url");
}
