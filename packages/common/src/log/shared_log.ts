/**
 * The interface of the append-only log that all hosts share.
 * @module
 */
import type { Buffer } from "node:buffer";

/** A partition of a topic. */
export interface LogPartition {
  readonly topic: string;
  readonly partition: number;
}

/**
 * A record to append; compacted topics, which retain the newest record of each
 * key, require the key.
 */
export interface NewLogRecord {
  readonly key?: string;
  readonly value: Buffer;
}

/** A record that was read from the log. */
export interface LogRecord {
  readonly offset: number;
  readonly key: string;
  /** Empty if the record deletes its key. */
  readonly value: Buffer;
}

/** The result of one read. */
export interface LogBatch {
  readonly records: readonly LogRecord[];
  /** The offset at which the next read continues. */
  readonly nextOffset: number;
  /** The offset after the last record in the partition. */
  readonly endOffset: number;
}

/** The result of an append. */
export interface AppendReceipt {
  /** The offset of the first appended record. */
  readonly offset: number;
  readonly endOffset: number;
}

/** The partitions that a group has assigned to a member. */
export interface GroupAssignment {
  readonly generation: number;
  readonly partitions: readonly LogPartition[];
}

/** The membership of a host in a consumer group. */
export interface GroupMembership {
  readonly group: string;
  readonly member: string;
  readonly topics: readonly string[];
  /** The time after which an unreachable member loses its partitions, in milliseconds. */
  readonly ttlMs: number;
  /** The generation of the last assignment, or 0 if there is none. */
  readonly generation: number;
}

/** The member that holds a partition of a group. */
export interface PartitionHolder {
  readonly partition: LogPartition;
  readonly member: string;
}

/**
 * The append-only log that all hosts share. Failed calls reject with a
 * `PortError`. An implementation may set its outcome to "not-run" only if the
 * log is certain to have done nothing; otherwise the outcome is "unknown".
 */
export abstract class SharedLog {
  /**
   * Appends records atomically.
   *
   * @param partition - The partition.
   * @param records - The records, in order.
   * @param atOffset - The expected end offset; any other end offset rejects with an `AppendConflictError`.
   */
  abstract append(
    partition: LogPartition,
    records: readonly NewLogRecord[],
    atOffset?: number,
  ): Promise<AppendReceipt>;

  /**
   * Reads records, waiting until there is at least one. Rejects with a
   * `TrimmedLogError` if the requested records have been deleted.
   *
   * @param partition - The partition.
   * @param fromOffset - The offset of the first record to read.
   * @param waitMs - The maximum time to wait for a record, in milliseconds.
   */
  abstract read(
    partition: LogPartition,
    fromOffset: number,
    waitMs: number,
  ): Promise<LogBatch>;

  /**
   * Reads the newest record of each key, in the order of their offsets. Records
   * that are appended during the read may be missing; continue reading at
   * `nextOffset`.
   *
   * @param partition - The partition.
   */
  abstract readNewest(partition: LogPartition): Promise<LogBatch>;

  /**
   * Joins a group or renews the membership, and returns the assigned
   * partitions.
   *
   * @param membership - The group and the member.
   */
  abstract joinGroup(membership: GroupMembership): Promise<GroupAssignment>;

  /**
   * Leaves a group, so that the partitions of the member are reassigned
   * immediately.
   *
   * @param membership - The group and the member.
   */
  abstract leaveGroup(membership: GroupMembership): Promise<void>;

  /**
   * Returns the holders of a group's partitions.
   *
   * @param group - The group.
   */
  abstract listHolders(group: string): Promise<readonly PartitionHolder[]>;
}
