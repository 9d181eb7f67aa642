/**
 * The port to a service that scores samples.
 * @module
 */
import type { SampleId } from "@briarhill/common/ids/ids";

/** A finished sample to be scored. */
export interface ScoreRequest {
  readonly sampleId: SampleId;
  readonly prompt: string;
  readonly text: string;
}

/** The score of one sample. */
export interface Score {
  readonly sampleId: SampleId;
  readonly score: number;
}

/** A service that scores samples; scoring the same sample again is harmless. */
export abstract class Scorer {
  /**
   * Scores a sample; an answer for another sample is a `PortError` with fault "malformed".
   *
   * @param request - The sample.
   * @param signal - Gives the call up.
   */
  abstract score(request: ScoreRequest, signal?: AbortSignal): Promise<Score>;
}
