/**
 * Limits the number of calls that a customer has open at the same time.
 * @module
 */
import { RefusedError } from "@briarhill/common/errors/errors";

const RETRY_AFTER_MS = 1000;

/** Counts open calls by customer and kind of call, and refuses those beyond the limit. */
export class OpenCalls {
  readonly #openCalls = new Map<string, number>();

  /**
   * Counts a call as open and returns a function that closes it. Throws a
   * `RefusedError` if the limit is reached.
   *
   * @param key - The customer, with the kind of call if it has a limit of its own.
   * @param limit - The maximum number of open calls.
   */
  open(key: string, limit: number): () => void {
    const open = this.#openCalls.get(key) ?? 0;
    if (open >= limit) {
      throw new RefusedError(`${open} calls are open, the maximum`, {
        props: { retryAfterMs: RETRY_AFTER_MS, reason: "open-calls" },
      });
    }
    this.#openCalls.set(key, open + 1);
    let isOpen = true;
    return () => {
      if (isOpen) {
        isOpen = false;
        this.#close(key);
      }
    };
  }

  #close(key: string): void {
    const open = (this.#openCalls.get(key) ?? 1) - 1;
    if (open === 0) {
      this.#openCalls.delete(key);
    } else {
      this.#openCalls.set(key, open);
    }
  }
}
