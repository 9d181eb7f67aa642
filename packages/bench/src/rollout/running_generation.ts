/**
 * Describes a generation that runs on an engine of the rollout bench.
 * @module
 */
import {
  addSpan,
  type VersionSpan,
} from "@briarhill/rollout/samples/version_span";
import type { GenerationStructure } from "@briarhill/rollout/scheduling/generation";
import type { EngineModel } from "../engine_model/engine_model.ts";

/** A generation that runs on an engine. */
export interface RunningJob {
  readonly generation: GenerationStructure;
  readonly engine: EngineModel;
  /** The version spans of the tokens that the generation was resumed with. */
  readonly prefix: readonly VersionSpan[];
  /** The version that the engine served when the generation started. */
  readonly version: number;
}

/**
 * Returns the version spans of a running generation. Its new tokens are counted
 * as of the version that the engine served when the generation started.
 *
 * @example
 * ```ts
 * const spans = getSpans(job);
 * ```
 * @param job - The running generation.
 */
export function getSpans(job: RunningJob): readonly VersionSpan[] {
  const fromToken = job.generation.fromToken;
  const currentSpan = {
    fromToken,
    toToken: fromToken + 1,
    version: job.version,
  };
  return addSpan(job.prefix, currentSpan);
}
