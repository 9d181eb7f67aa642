/**
 * Scores finished samples with the customer's scorer. A failing scorer must not
 * stall a training step, so retries are bounded.
 * @module
 */
import { HttpScorer } from "@briarhill/ports/scorer/http_scorer";
import type { Scorer } from "@briarhill/ports/scorer/scorer";
import type { SampleStructure } from "@briarhill/rollout/samples/sample_structure";
import type { NodeContext } from "../node/node_context.ts";

const MAX_ATTEMPTS = 5;
const ATTEMPT_TIMEOUT_MS = 30_000;
const FIRST_RETRY_MS = 200;

/** Scores finished samples with a bounded number of retries. */
export class SampleScoring {
  readonly #context: NodeContext;
  readonly #createScorer: (address: string) => Scorer;
  readonly #scorers = new Map<string, Scorer>();

  constructor(
    context: NodeContext,
    createScorer: (address: string) => Scorer = (address) =>
      new HttpScorer(address),
  ) {
    this.#context = context;
    this.#createScorer = createScorer;
  }

  /**
   * Returns a sample with its score; without one if no scorer is set or all attempts
   * failed, so that a scorer can't stall a step.
   *
   * @param sample - The sample.
   * @param call - The prompt and the scorer's address.
   */
  async scoreSample(sample: SampleStructure, call: {
    readonly prompt: string;
    readonly scorer: string | undefined;
  }): Promise<SampleStructure> {
    if (call.scorer === undefined) {
      return sample;
    }
    const scorer = this.#getScorer(call.scorer);
    const request = {
      sampleId: sample.id,
      prompt: call.prompt,
      text: sample.text,
    };
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        const signal = AbortSignal.timeout(ATTEMPT_TIMEOUT_MS);
        const { score } = await scorer.score(request, signal);
        return { ...sample, score };
      } catch (error) {
        this.#context.logger.error("score-failed", error);
        await this.#context.clock.sleep(FIRST_RETRY_MS * 2 ** attempt);
      }
    }
    return sample;
  }

  #getScorer(address: string): Scorer {
    const scorer = this.#scorers.get(address) ?? this.#createScorer(address);
    this.#scorers.set(address, scorer);
    return scorer;
  }
}
