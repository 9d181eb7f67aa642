/**
 * Bounds the bytes of all responses that a process reads at the same time.
 *
 * Load pattern: faulty servers send responses without end to many requests at
 * once. Each is small against the memory of the process, all of them are not.
 * Sound responses beside them are smaller, as they end.
 * @module
 */

interface ReadingState {
  bytes: number;
  readonly onDropped: () => void;
}

/** The bytes that are kept of one response. */
export interface ResponseReading {
  /**
   * Sets the number of bytes that are kept. While the account is full, the
   * readings that keep the most are dropped, which may be this one.
   */
  readonly setBytes: (bytes: number) => void;
  /** Ends the account of the response, unless it was dropped. */
  readonly close: () => void;
}

/** Options of {@link ResponseMemory}. */
export interface ResponseMemoryOptions {
  /** The number of bytes that may be kept at once. */
  readonly limitBytes: number;
  /** Called after a response was dropped, with the bytes that were kept of it. */
  readonly onDropped?: (bytes: number) => void;
}

/** Accounts for the bytes of responses, and drops the largest ones beyond a limit. */
export class ResponseMemory {
  readonly #options: ResponseMemoryOptions;
  readonly #readings = new Set<ReadingState>();
  #usedBytes = 0;

  constructor(options: ResponseMemoryOptions) {
    this.#options = options;
  }

  /** The number of bytes that are kept. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Opens the account of a response; it must be closed.
   *
   * @param onDropped - Called when the response has to be discarded.
   */
  openReading(onDropped: () => void): ResponseReading {
    const state: ReadingState = { bytes: 0, onDropped };
    this.#readings.add(state);
    return {
      setBytes: (bytes) => this.#setBytes(state, bytes),
      close: () => this.#remove(state),
    };
  }

  #setBytes(state: ReadingState, bytes: number): void {
    if (!this.#readings.has(state)) {
      return;
    }
    this.#usedBytes += bytes - state.bytes;
    state.bytes = bytes;
    while (this.#usedBytes > this.#options.limitBytes) {
      const largest = this.#getLargest();
      this.#remove(largest);
      largest.onDropped();
      this.#options.onDropped?.(largest.bytes);
    }
  }

  #remove(state: ReadingState): void {
    if (this.#readings.delete(state)) {
      this.#usedBytes -= state.bytes;
    }
  }

  /** Must only be called while bytes are kept. */
  #getLargest(): ReadingState {
    return [...this.#readings].reduce((largest, state) =>
      state.bytes > largest.bytes ? state : largest
    );
  }
}
