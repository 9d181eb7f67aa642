/**
 * Retains the newest records of the configuration log in memory for peers that
 * read a stale replica of the log. The records have no gaps in their offsets.
 * @module
 */
import type { ReadRecord } from "./configuration_fold.ts";

/** Peers that are further behind than this are sent a snapshot. */
const MAX_TAIL_RECORDS = 256;

/** The newest records in the order of their offsets, without gaps. */
export class RecordTail {
  readonly records: readonly ReadRecord[];

  private constructor(records: readonly ReadRecord[]) {
    this.records = records;
  }

  /** Creates a tail without records. */
  static create(): RecordTail {
    return new RecordTail([]);
  }

  /**
   * Returns a tail with records appended. Records that do not follow directly
   * after the last one replace the tail.
   *
   * @param added - The records, in the order of their offsets.
   */
  add(added: readonly ReadRecord[]): RecordTail {
    const end = this.records.at(-1)?.offset;
    const newer = added.filter(({ offset }) =>
      end === undefined || offset > end
    );
    const isContiguous = newer[0]?.offset === (end ?? -1) + 1;
    const all = isContiguous ? [...this.records, ...newer] : newer;
    return newer.length === 0
      ? this
      : new RecordTail(all.slice(-MAX_TAIL_RECORDS));
  }

  /**
   * Returns the records after an offset, or undefined if the tail starts later.
   *
   * @param after - The last offset that the requesting peer has applied.
   */
  getRecordsAfter(after: number): readonly ReadRecord[] | undefined {
    const first = this.records[0]?.offset;
    return first === undefined || first > after + 1
      ? undefined
      : this.records.filter(({ offset }) => offset > after);
  }
}
