/**
 * Applies records of the topics that only hosts write. A malformed record must
 * not stop the records after it from being applied.
 * @module
 */
import { BriarhillError } from "@briarhill/common/errors/errors";
import type { LogRecord } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";

/**
 * Applies records in order; logs and skips a record that cannot be decoded.
 *
 * @example
 * ```ts
 * declare const logger: Logger;
 *
 * applyRecords([], { apply: () => {}, logger });
 * ```
 * @param records - The records to apply.
 * @param options - The function that applies one record, and the logger for errors.
 */
export function applyRecords(
  records: readonly LogRecord[],
  options: {
    readonly apply: (record: LogRecord) => void;
    readonly logger: Logger;
  },
): void {
  for (const record of records) {
    try {
      options.apply(record);
    } catch (error) {
      if (!(error instanceof BriarhillError || error instanceof SyntaxError)) {
        throw error;
      }
      options.logger.error("lot-record-unreadable", error, {
        key: record.key,
      });
    }
  }
}
