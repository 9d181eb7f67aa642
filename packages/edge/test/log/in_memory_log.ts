import {
  type AppendReceipt,
  type GroupAssignment,
  type LogBatch,
  type LogRecord,
  type NewLogRecord,
  type PartitionHolder,
  SharedLog,
} from "@briarhill/common/log/shared_log";
import { createPortError } from "@briarhill/common/errors/port_error";
import type { Clock } from "@briarhill/common/time/clock";

/** An in-memory log of one partition that can be made unreachable. */
export class InMemoryLog extends SharedLog {
  readonly #clock: Clock;
  readonly #records: LogRecord[] = [];
  isUnreachable = false;
  /** While set, responses of long-polling reads arrive only once it has resolved. */
  heldResponses: Promise<void> | undefined;
  /** The partition holders, the same for every group. */
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
    this.#throwIfUnreachable();
    if (fromOffset >= this.#records.length && waitMs > 0) {
      await this.#clock.sleep(waitMs);
      this.#throwIfUnreachable();
    }
    const batch = this.#createBatch(this.#records.slice(fromOffset));
    if (waitMs > 0) {
      await this.heldResponses;
    }
    return batch;
  }

  override readNewest(): Promise<LogBatch> {
    this.#throwIfUnreachable();
    return Promise.resolve(this.#createBatch(this.#records));
  }

  override joinGroup(): Promise<GroupAssignment> {
    return Promise.resolve({ generation: 1, partitions: [] });
  }

  override leaveGroup(): Promise<void> {
    return Promise.resolve();
  }

  override listHolders(): Promise<readonly PartitionHolder[]> {
    this.#throwIfUnreachable();
    return Promise.resolve(this.holders);
  }

  #createBatch(records: readonly LogRecord[]): LogBatch {
    const endOffset = this.#records.length;
    return { records: [...records], nextOffset: endOffset, endOffset };
  }

  #throwIfUnreachable(): void {
    if (this.isUnreachable) {
      throw createPortError("log is unreachable", {
        port: "store",
        operation: "read",
        fault: "silent",
        outcome: "unknown",
      });
    }
  }
}
