/**
 * Computes the delays of the reads of one connection. The head of a response
 * must never be delayed.
 * @module
 */

/**
 * The reads of the response head and of the first body chunk are not delayed.
 */
const UNDELAYED_READS = 2;
/**
 * A read of this size indicates a large response, which a delay would only slow
 * down.
 */
const BULK_READ_BYTES = 16_384;

/** The byte counters of a connection at one time. */
export interface ReadProgress {
  readonly bytesRead: number;
  readonly bytesWritten: number;
  readonly nowMs: number;
}

/** Decides the earliest time of the next read of one connection. */
export class ReadSchedule {
  #bytesWritten = -1;
  #bytesRead = 0;
  #undelayedReads = 0;

  /**
   * Returns the earliest time of a read that is requested now.
   *
   * @param progress - The connection's byte counters and the current time.
   * @param delayMs - The delay of a read that is not exempt.
   */
  computeDueMs(progress: ReadProgress, delayMs: number): number {
    if (this.hasNewRequest(progress.bytesWritten)) {
      this.#bytesWritten = progress.bytesWritten;
      this.#undelayedReads = UNDELAYED_READS;
    }
    const bytes = progress.bytesRead - this.#bytesRead;
    this.#bytesRead = progress.bytesRead;
    const isUndelayed = this.#undelayedReads > 0 || bytes >= BULK_READ_BYTES;
    this.#undelayedReads = Math.max(0, this.#undelayedReads - 1);
    return isUndelayed ? progress.nowMs : progress.nowMs + delayMs;
  }

  /**
   * Returns whether a request has been sent since the last read; its response
   * must not be delayed.
   *
   * @param bytesWritten - The number of bytes that the connection has sent.
   */
  hasNewRequest(bytesWritten: number): boolean {
    return bytesWritten !== this.#bytesWritten;
  }
}
