/**
 * The append-only log that all hosts share, as a port.
 * @module
 */
import type { Buffer } from "node:buffer";

/** One partition of one topic. */
export interface LogPartition {
  readonly topic: string;
  readonly partition: number;
}

/** A record to append; topics that keep the newest record of each key need the key. */
export interface NewLogRecord {
  readonly key?: string;
  readonly value: Buffer;
}

/** A record as it was read. */
export interface LogRecord {
  readonly offset: number;
  readonly key: string;
  /** Empty where the record removes its key. */
  readonly value: Buffer;
}

/** What one read returns. */
export interface LogBatch {
  readonly records: readonly LogRecord[];
  /** The offset to go on from. */
  readonly nextOffset: number;
  /** The offset after the last record of the partition. */
  readonly endOffset: number;
}

/** What an append returns. */
export interface AppendReceipt {
  /** The offset of the first record. */
  readonly offset: number;
  readonly endOffset: number;
}

/** A partition that a group has assigned to this member. */
export interface GroupAssignment {
  readonly generation: number;
  readonly partitions: readonly LogPartition[];
}

/** How a host takes part in a group. */
export interface GroupMembership {
  readonly group: string;
  readonly member: string;
  readonly topics: readonly string[];
  /** How long a silent member keeps its partitions, in milliseconds. */
  readonly ttlMs: number;
  /** The generation received last, or 0. */
  readonly generation: number;
}

/** Which member holds a partition of a group. */
export interface PartitionHolder {
  readonly partition: LogPartition;
  readonly member: string;
}

/**
 * The append-only log that all hosts share. A failure is a `PortError`: its
 * outcome is "not-run" where the log did nothing for sure, else "unknown".
 */
export abstract class SharedLog {
  /**
   * Appends records, all or none.
   *
   * @param place - The partition.
   * @param records - The records, in order.
   * @param atOffset - Appends only where the partition ends there; otherwise an `AppendConflictError` is thrown.
   */
  abstract append(
    place: LogPartition,
    records: readonly NewLogRecord[],
    atOffset?: number,
  ): Promise<AppendReceipt>;

  /**
   * Reads records, waiting until there is one; a `TrimmedLogError` is thrown
   * where the wanted records have been deleted.
   *
   * @param place - The partition.
   * @param fromOffset - The first offset wanted.
   * @param waitMs - The longest wait for a record, in milliseconds.
   */
  abstract read(
    place: LogPartition,
    fromOffset: number,
    waitMs: number,
  ): Promise<LogBatch>;

  /**
   * Reads the newest record of each key, in the order of their offsets. What
   * is appended meanwhile may be missing: go on from `nextOffset`.
   *
   * @param place - The partition.
   */
  abstract readNewest(place: LogPartition): Promise<LogBatch>;

  /**
   * Joins a group or stays in it, and returns what the member holds.
   *
   * @param membership - The group and the member.
   */
  abstract joinGroup(membership: GroupMembership): Promise<GroupAssignment>;

  /**
   * Leaves a group, so that its partitions are assigned anew at once.
   *
   * @param membership - The group and the member.
   */
  abstract leaveGroup(membership: GroupMembership): Promise<void>;

  /**
   * Returns who holds which partition of a group.
   *
   * @param group - The group.
   */
  abstract listHolders(group: string): Promise<readonly PartitionHolder[]>;
}
