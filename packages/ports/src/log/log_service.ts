/**
 * Defines the port to the platform's append-only log.
 * @module
 */

/** The name of a stream of the log, such as "contracts" or "leases". */
export type StreamName = string;

/** The position of a record in its stream; the first record has offset 0. */
export type Offset = number;

/** An appended record. */
export interface LogRecord {
  readonly offset: Offset;
  /** The time of the append by the log's wall clock. */
  readonly timeMs: number;
  /** The text of the record; briarhill writes JSON. */
  readonly value: string;
}

/** A page of records read from a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /**
   * The offset of the oldest record that the log retains; equal to `end` if it
   * retains none.
   */
  readonly first: Offset;
  /** The offset of the next record to be appended. */
  readonly end: Offset;
}

/** Options of {@link LogService.read}. */
export interface LogReadOptions {
  /** The first requested offset. */
  readonly from: Offset;
  /** The maximum number of records to return. */
  readonly limit?: number;
  /** The maximum time that the log may wait for a first record. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** The platform's append-only log. */
export abstract class LogService {
  /**
   * Appends one record and returns its offset.
   *
   * Throws a `PortError` on failure. With outcome "unknown" the record may have
   * been appended nevertheless; the caller has to read the stream to find out.
   *
   * @param stream - The name of the stream.
   * @param value - The text of the record.
   */
  abstract append(stream: StreamName, value: string): Promise<Offset>;

  /**
   * Reads records in order. A `from` below `first` starts at `first`, so that
   * the caller can detect the gap.
   *
   * @param stream - The name of the stream.
   * @param options - The range to read and the wait.
   */
  abstract read(stream: StreamName, options: LogReadOptions): Promise<LogPage>;
}
