/**
 * One stream of the stand-in log.
 * @module
 */
import type { Clock } from "@briarhill/common/time/clock";
import type {
  LogPage,
  LogRecord,
  Offset,
} from "@briarhill/ports/log/log_service";

/** How long records are kept. */
export interface Retention {
  readonly retentionMs: number;
  readonly retentionRecords: number;
}

/** The records of one stream, and who waits for more. */
export class FakeLogStream {
  readonly #clock: Clock;
  readonly #retention: Retention;
  readonly #waiting = new Set<() => void>();
  #records: LogRecord[] = [];
  #end = 0;

  constructor(clock: Clock, retention: Retention) {
    this.#clock = clock;
    this.#retention = retention;
  }

  /** Returns the offset that the next record gets. */
  getEnd(): Offset {
    return this.#end;
  }

  /**
   * Appends a record and returns its offset.
   *
   * @param value - The record's text.
   */
  append(value: string): Offset {
    const offset = this.#end++;
    this.#records.push({ offset, timeMs: this.#clock.getWallMs(), value });
    this.#prune();
    for (const callback of [...this.#waiting]) {
      callback();
    }
    return offset;
  }

  /**
   * Returns records in order.
   *
   * @param from - The first offset wanted.
   * @param limit - The most records to return.
   */
  getPage(from: Offset, limit: number): LogPage {
    this.#prune();
    const first = this.#records[0]?.offset ?? this.#end;
    const start = Math.max(0, from - first);
    return {
      records: this.#records.slice(start, start + limit),
      first,
      end: this.#end,
    };
  }

  /**
   * Calls back after each append until the returned function is called.
   *
   * @param callback - What to call.
   */
  subscribe(callback: () => void): () => void {
    this.#waiting.add(callback);
    return () => this.#waiting.delete(callback);
  }

  #prune(): void {
    const { retentionMs, retentionRecords } = this.#retention;
    const oldestMs = this.#clock.getWallMs() - retentionMs;
    const firstKept = this.#records.findIndex(({ timeMs }) =>
      timeMs >= oldestMs
    );
    const outdated = firstKept === -1 ? this.#records.length : firstKept;
    const surplus = this.#records.length - retentionRecords;
    const dropped = Math.max(outdated, surplus);
    if (dropped > 0) {
      this.#records = this.#records.slice(dropped);
    }
  }
}
