/**
 * Reads snapshots of the configuration from the platform's log.
 * @module
 */
import type { ConfigurationState } from "@briarhill/control/configuration/configuration_state";
import {
  decodeNewestSnapshot,
  SNAPSHOT_STREAM,
} from "@briarhill/control/snapshots/snapshot";
import type { LogRecord, LogService } from "@briarhill/ports/log/log_service";

const READ_WINDOW_RECORDS = 64;

/**
 * Returns the newest snapshot that passes its hash check, or undefined if there
 * is none.
 *
 * @example
 * ```ts
 * const state = await readNewestSnapshot(log);
 * ```
 * @param log - The platform's log.
 */
export async function readNewestSnapshot(
  log: LogService,
): Promise<ConfigurationState | undefined> {
  const { first, end } = await log.read(SNAPSHOT_STREAM, { from: 0, limit: 1 });
  for (let window = READ_WINDOW_RECORDS;; window *= 2) {
    const from = Math.max(first, end - window);
    const records = await readRange(log, { from, end });
    const state = decodeNewestSnapshot(records.map(({ value }) => value));
    if (state !== undefined || from === first) {
      return state;
    }
  }
}

async function readRange(
  log: LogService,
  range: { readonly from: number; readonly end: number },
): Promise<readonly LogRecord[]> {
  const records: LogRecord[] = [];
  for (let next = range.from; next < range.end;) {
    const page = await log.read(SNAPSHOT_STREAM, { from: next });
    records.push(...page.records);
    const last = page.records.at(-1);
    next = last === undefined ? range.end : last.offset + 1;
  }
  return records;
}
