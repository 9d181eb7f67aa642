/**
 * Answers that are kept back until a test lets them go.
 * @module
 */

/** The answers that a stand-in keeps back. */
export class HeldAnswers {
  readonly #waiting: (() => void)[] = [];
  readonly #observers: (() => void)[] = [];

  /** Resolves when the answers are released. */
  wait(): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
      this.#observers.splice(0).forEach((observer) => observer());
    });
  }

  /** Resolves once an answer is kept back. */
  waitForOne(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#waiting.length > 0) {
        resolve();
      } else {
        this.#observers.push(resolve);
      }
    });
  }

  /** Releases all answers that are kept back. */
  release(): void {
    this.#waiting.splice(0).forEach((resume) => resume());
  }
}
