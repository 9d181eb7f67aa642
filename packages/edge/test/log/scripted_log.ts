import {
  type AppendReceipt,
  type GroupAssignment,
  type LogBatch,
  type LogRecord,
  type NewLogRecord,
  type PartitionHolder,
  SharedLog,
} from "@briarhill/common/log/shared_log";
import { createPortError } from "@briarhill/common/errors/port_fault";
import type { Clock } from "@briarhill/common/time/clock";

/** A log of one partition in memory, which can be away. */
export class ScriptedLog extends SharedLog {
  readonly #clock: Clock;
  readonly #records: LogRecord[] = [];
  isAway = false;
  /** Who holds which partition of any group. */
  holders: readonly PartitionHolder[] = [];

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override append(
    _place: unknown,
    records: readonly NewLogRecord[],
  ): Promise<AppendReceipt> {
    const offset = this.#records.length;
    records.forEach(({ key = "", value }, index) =>
      this.#records.push({ key, value, offset: offset + index })
    );
    return Promise.resolve({ offset, endOffset: this.#records.length });
  }

  override async read(
    _place: unknown,
    fromOffset: number,
    waitMs: number,
  ): Promise<LogBatch> {
    this.#throwIfAway();
    if (fromOffset >= this.#records.length && waitMs > 0) {
      await this.#clock.sleep(waitMs);
      this.#throwIfAway();
    }
    return this.#createBatch(this.#records.slice(fromOffset));
  }

  override readNewest(): Promise<LogBatch> {
    this.#throwIfAway();
    return Promise.resolve(this.#createBatch(this.#records));
  }

  override joinGroup(): Promise<GroupAssignment> {
    return Promise.resolve({ generation: 1, partitions: [] });
  }

  override leaveGroup(): Promise<void> {
    return Promise.resolve();
  }

  override listHolders(): Promise<readonly PartitionHolder[]> {
    this.#throwIfAway();
    return Promise.resolve(this.holders);
  }

  #createBatch(records: readonly LogRecord[]): LogBatch {
    const endOffset = this.#records.length;
    return { records: [...records], nextOffset: endOffset, endOffset };
  }

  #throwIfAway(): void {
    if (this.isAway) {
      throw createPortError("the log is away", {
        port: "store",
        operation: "read",
        fault: "silent",
        outcome: "unknown",
      });
    }
  }
}
