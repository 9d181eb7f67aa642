/**
 * Defines the port to a service that scores samples.
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

/** A service that scores samples; scoring the same sample again is safe. */
export abstract class Scorer {
  /**
   * Scores a sample; throws a `PortError` with fault "malformed" if the
   * response is for another sample.
   *
   * @param request - The sample.
   * @param signal - Cancels the call.
   */
  abstract score(request: ScoreRequest, signal?: AbortSignal): Promise<Score>;
}
