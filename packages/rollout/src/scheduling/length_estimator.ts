/**
 * Estimates the lengths of samples from those of earlier samples.
 * @module
 */

const MAX_RECENT_LENGTHS = 512;
const MAX_PROMPTS = 65_536;
const NEWEST_LENGTH_WEIGHT = 0.3;

/**
 * Estimates the length of a sample in tokens: from earlier samples of the same
 * prompt, otherwise from the recent samples of the model.
 */
export class LengthEstimator {
  readonly #byPrompt = new Map<string, number>();
  readonly #recent: number[] = [];
  #nextIndex = 0;
  #sum = 0;

  /**
   * Records the length of a completed sample.
   *
   * @param prompt - A key of the prompt, such as its hash.
   * @param tokens - The length of the sample in tokens.
   */
  addLength(prompt: string, tokens: number): void {
    const known = this.#byPrompt.get(prompt);
    this.#byPrompt.delete(prompt);
    this.#byPrompt.set(
      prompt,
      known === undefined
        ? tokens
        : known + NEWEST_LENGTH_WEIGHT * (tokens - known),
    );
    if (this.#byPrompt.size > MAX_PROMPTS) {
      this.#byPrompt.delete(this.#byPrompt.keys().next().value ?? prompt);
    }
    this.#sum += tokens - (this.#recent[this.#nextIndex] ?? 0);
    this.#recent[this.#nextIndex] = tokens;
    this.#nextIndex = (this.#nextIndex + 1) % MAX_RECENT_LENGTHS;
  }

  /**
   * Returns the expected length of a sample in tokens, or 0 if no length was
   * recorded.
   *
   * @param prompt - A key of the prompt.
   */
  getExpected(prompt: string): number {
    return this.#byPrompt.get(prompt) ??
      (this.#recent.length === 0 ? 0 : this.#sum / this.#recent.length);
  }

  /**
   * Returns a quantile of the recent lengths in tokens, or 0 if no length was
   * recorded.
   *
   * @param share - The quantile, from 0 to 1.
   */
  getQuantile(share: number): number {
    const sorted = [...this.#recent].sort((a, b) => a - b);
    return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
  }
}
