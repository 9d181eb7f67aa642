/**
 * The port to the platform's append-only log.
 * @module
 */

/** The name of a stream of the log, such as "contracts" or "leases". */
export type StreamName = string;

/** The place of a record in its stream; the first record has offset 0. */
export type Offset = number;

/** A record that has been appended. */
export interface LogRecord {
  readonly offset: Offset;
  /** The log's own wall time of the append. */
  readonly timeMs: number;
  /** The record's text; records of briarhill are JSON. */
  readonly value: string;
}

/** Records read from a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The offset of the oldest record that the log still holds; equal to `end` when it holds none. */
  readonly first: Offset;
  /** The offset that the next appended record will get. */
  readonly end: Offset;
}

/** What to read. */
export interface LogReadOptions {
  /** The first offset wanted. */
  readonly from: Offset;
  /** The most records to return. */
  readonly limit?: number;
  /** How long the log may wait for a first record. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** The platform's append-only log. */
export abstract class LogService {
  /**
   * Appends one record and returns its offset.
   *
   * Fails with a `PortError`; with outcome "unknown" the record may have been appended all the same,
   * and the caller has to read on to find out.
   *
   * @param stream - The stream.
   * @param value - The record's text.
   */
  abstract append(stream: StreamName, value: string): Promise<Offset>;

  /**
   * Reads records in order. A `from` below `first` starts at `first`: the caller sees the gap.
   *
   * @param stream - The stream.
   * @param options - What to read.
   */
  abstract read(stream: StreamName, options: LogReadOptions): Promise<LogPage>;
}
