/**
 * Schedule of configuration snapshots: each record of the configuration stream
 * has to be covered by a snapshot before the log's retention removes it.
 * @module
 */

const DEFAULT_RETENTION_MS = 3_600_000;
/** The number of snapshots that are written within one retention period, even without changes. */
const SNAPSHOTS_PER_RETENTION = 6;
const MAX_UNCOVERED_RECORDS = 256;
/** The share of the records in the log that may remain without a snapshot. */
const MAX_UNCOVERED_FRACTION = 0.25;

/** Input of `shouldWriteSnapshot`. */
export interface SnapshotScheduleInput {
  /** The offset up to which the state has been applied. */
  readonly appliedOffset: number;
  /** The oldest offset that the configuration stream still retains. */
  readonly oldestLogOffset: number;
  /** The offset of the newest snapshot that was observed; -1 for none. */
  readonly snapshotOffset: number;
  /** The age of that snapshot; Infinity for none. */
  readonly snapshotAgeMs: number;
  /** The retention period of the log. */
  readonly retentionMs?: number;
}

/**
 * Returns whether a snapshot is due. Snapshots are rewritten even without a
 * change, since the log removes old snapshots as well.
 *
 * @example
 * ```ts
 * if (shouldWriteSnapshot({ appliedOffset: 40, oldestLogOffset: 0, snapshotOffset: 12, snapshotAgeMs: 90_000 })) {
 *   commands.push("snapshot");
 * }
 * ```
 * @param input - The offsets of the log and of the newest snapshot.
 */
export function shouldWriteSnapshot(input: SnapshotScheduleInput): boolean {
  const { appliedOffset, oldestLogOffset, snapshotOffset, snapshotAgeMs } =
    input;
  if (appliedOffset < 0 || snapshotOffset > appliedOffset) {
    return false;
  }
  const intervalMs = (input.retentionMs ?? DEFAULT_RETENTION_MS) /
    SNAPSHOTS_PER_RETENTION;
  if (snapshotAgeMs >= intervalMs) {
    return true;
  }
  const uncoveredRecords = appliedOffset - snapshotOffset;
  // Once the log has removed records, the remaining ones show how many it retains.
  const heldRecords = oldestLogOffset > 0
    ? appliedOffset + 1 - oldestLogOffset
    : Infinity;
  return uncoveredRecords > 0 && uncoveredRecords >= Math.min(
        MAX_UNCOVERED_RECORDS,
        Math.max(1, heldRecords * MAX_UNCOVERED_FRACTION),
      );
}
