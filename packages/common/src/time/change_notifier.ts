/**
 * Notifies waiters of the next change of a state.
 * @module
 */

/** Lets any number of waiters await the next change. */
export class ChangeNotifier {
  #resolve: () => void = () => undefined;
  #next: Promise<void>;

  constructor() {
    this.#next = this.#createNext();
  }

  /** Resolves when the next change is announced. */
  wait(): Promise<void> {
    return this.#next;
  }

  /** Notifies all waiters of a change. */
  announce(): void {
    const resolve = this.#resolve;
    this.#next = this.#createNext();
    resolve();
  }

  #createNext(): Promise<void> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }
}
