/**
 * When the next read of one connection may start.
 * @module
 */

/** The head of an answer and its first part are read without delay. */
const UNPACED_READS = 2;
/** A read of this size shows a large answer, which gathering would only delay. */
const BULK_BYTES = 16_384;

/** What a connection has moved so far, and when. */
export interface ReadProgress {
  readonly bytesRead: number;
  readonly bytesWritten: number;
  readonly nowMs: number;
}

/** Decides when the next read of one connection may start. */
export class ReadSchedule {
  #bytesWritten = -1;
  #bytesRead = 0;
  #unpaced = 0;

  /**
   * Returns when a read may start that is wanted now.
   *
   * @param progress - The connection and the time.
   * @param paceMs - How long parts of an answer may gather.
   */
  computeDueMs(progress: ReadProgress, paceMs: number): number {
    if (this.hasNewRequest(progress.bytesWritten)) {
      this.#bytesWritten = progress.bytesWritten;
      this.#unpaced = UNPACED_READS;
    }
    const bytes = progress.bytesRead - this.#bytesRead;
    this.#bytesRead = progress.bytesRead;
    const isUnpaced = this.#unpaced > 0 || bytes >= BULK_BYTES;
    this.#unpaced = Math.max(0, this.#unpaced - 1);
    return isUnpaced ? progress.nowMs : progress.nowMs + paceMs;
  }

  /**
   * Tells whether a request was sent since the last read; its answer must not
   * be held up.
   *
   * @param bytesWritten - What the connection has sent.
   */
  hasNewRequest(bytesWritten: number): boolean {
    return bytesWritten !== this.#bytesWritten;
  }
}
