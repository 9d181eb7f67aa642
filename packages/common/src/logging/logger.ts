/**
 * Writes structured logs as JSON lines with roarr.
 * @module
 */
import "./enable_roarr.ts";
import { type Logger as RoarrLogger, Roarr } from "roarr";

/** The fields of a log line in addition to its event. */
export type LogContext = Readonly<
  Record<string, string | number | boolean | null>
>;

/** Writes a line to the log output. */
export type LineWriter = (line: string) => void;

setLogWriter(() => {});

/**
 * Sets the writer of all logs of this process; logs before the first call are
 * dropped.
 *
 * @example
 * ```ts
 * setLogWriter((line) => process.stderr.write(line + "\n"));
 * ```
 * @param writer - Called with the JSON text of each line, without a line end.
 */
export function setLogWriter(writer: LineWriter): void {
  (globalThis as unknown as { ROARR: { write: LineWriter } }).ROARR.write =
    writer;
}

/**
 * A logger that adds its context to every line. Each line names an event of
 * the event catalogue.
 */
export class Logger {
  readonly #roarr: RoarrLogger;

  private constructor(roarr: RoarrLogger) {
    this.#roarr = roarr;
  }

  /**
   * Creates a root logger.
   *
   * @param context - The fields to add to every line.
   */
  static create(context: LogContext): Logger {
    return new Logger(Roarr.child({ application: "briarhill", ...context }));
  }

  /**
   * Creates a logger with additional context.
   *
   * @param context - The fields to add.
   */
  createChild(context: LogContext): Logger {
    return new Logger(this.#roarr.child({ ...context }));
  }

  /**
   * Logs an event of normal operation.
   *
   * @param event - The event's name in the catalogue, such as "contract-applied".
   * @param context - The event's fields.
   */
  info(event: string, context: LogContext = {}): void {
    this.#roarr.info({ event, ...context }, event);
  }

  /**
   * Logs an event that may require action by an operator.
   *
   * @param event - The event's name in the catalogue.
   * @param context - The event's fields.
   */
  warn(event: string, context: LogContext = {}): void {
    this.#roarr.warn({ event, ...context }, event);
  }

  /**
   * Logs a failure.
   *
   * @param event - The event's name in the catalogue.
   * @param error - The error that was caught.
   * @param context - The event's fields.
   */
  error(event: string, error: unknown, context: LogContext = {}): void {
    const { name, message } = error instanceof Error
      ? error
      : { name: "unknown", message: String(error) };
    this.#roarr.error({
      event,
      errorName: name,
      errorMessage: message,
      ...context,
    }, event);
  }
}
