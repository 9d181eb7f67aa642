/**
 * Estimates how many events samples still need, from the lengths that trainers
 * expect. Under load, trainers' hints are in tokens and off by half, while an
 * event holds a number of tokens that only finished samples show.
 * @module
 */
import type { SampleTask } from "./sample_task.ts";

/** Weight of the newest sample in the moving average of tokens per event. */
const SMOOTHING_FACTOR = 0.05;
/** Initial value of the moving average, until the first sample has finished. */
const INITIAL_TOKENS_PER_EVENT = 50;
/** Minimum for the expected number of remaining events of a sample. */
const MIN_EXPECTED_EVENTS = 8;

/** Estimates how many events samples still need. */
export class LengthEstimator {
  #tokensPerEvent = INITIAL_TOKENS_PER_EVENT;

  /**
   * Records a finished sample.
   *
   * @param task - The task of the sample.
   */
  addFinished({ request, eventCount }: SampleTask): void {
    if (request.expectedTokens > 0 && eventCount > 0) {
      this.#tokensPerEvent += SMOOTHING_FACTOR *
        (request.expectedTokens / eventCount - this.#tokensPerEvent);
    }
  }

  /**
   * Returns the expected number of events that a sample still needs.
   *
   * @param task - The task of the sample.
   */
  computeEventsLeft({ request, eventCount }: SampleTask): number {
    return Math.max(
      request.expectedTokens / this.#tokensPerEvent - eventCount,
      eventCount / 2,
      MIN_EXPECTED_EVENTS,
    );
  }
}
