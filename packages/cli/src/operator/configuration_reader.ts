/**
 * Reads the configuration log to its end and applies its records. Where records
 * were dropped from the log, it resumes from the newest snapshot.
 * @module
 */
import { NotFoundError } from "@briarhill/common/errors/errors";
import {
  applyPage,
  type RecordVerdict,
} from "@briarhill/control/configuration/configuration_fold";
import {
  CONFIGURATION_STREAM,
  decodeConfigurationRecord,
  isSameRecord,
  type RecordId,
} from "@briarhill/control/configuration/configuration_record";
import {
  type ConfigurationState,
  EMPTY_CONFIGURATION,
} from "@briarhill/control/configuration/configuration_state";
import { readNewestSnapshot } from "@briarhill/node/configuration/snapshot_reader";
import type { LogRecord, LogService } from "@briarhill/ports/log/log_service";

/** Reads the configuration log; each call continues where the last one ended. */
export class ConfigurationReader {
  readonly #log: LogService;
  readonly #verdicts: RecordVerdict[] = [];
  #state = EMPTY_CONFIGURATION;
  #recordsWithoutVerdict: readonly LogRecord[] = [];

  constructor(log: LogService) {
    this.#log = log;
  }

  /** Returns the configuration after all records read so far. */
  getState(): ConfigurationState {
    return this.#state;
  }

  /** Returns the verdicts on all records that were applied, in log order. */
  getVerdicts(): readonly RecordVerdict[] {
    return this.#verdicts;
  }

  /**
   * Returns the records in the log that the snapshot already covers; the verdicts
   * on them are unknown.
   */
  getRecordsWithoutVerdict(): readonly LogRecord[] {
    return this.#recordsWithoutVerdict;
  }

  /**
   * Returns the first verdict on a record, or undefined when the record has not
   * been read.
   *
   * @param id - The identity of the record.
   */
  findVerdict(id: RecordId): RecordVerdict | undefined {
    return this.#verdicts.find(({ record }) =>
      record !== undefined && isSameRecord(record, id)
    );
  }

  /** Reads and applies all records up to the end that the log reports. */
  async readToEnd(): Promise<void> {
    for (;;) {
      const from = this.#state.offset + 1;
      const page = await this.#log.read(CONFIGURATION_STREAM, { from });
      const { state, verdicts, gap } = applyPage(this.#state, page);
      if (gap) {
        await this.#applyNewestSnapshot(page.records);
        continue;
      }
      this.#state = state;
      this.#verdicts.push(...verdicts);
      if (state.offset + 1 >= page.end || page.records.length === 0) {
        return;
      }
    }
  }

  /**
   * Replaces the state with the newest snapshot; called when the log has dropped
   * records that the state lacks.
   */
  async #applyNewestSnapshot(records: readonly LogRecord[]): Promise<void> {
    const snapshot = await readNewestSnapshot(this.#log);
    const first = records[0]?.offset ?? Infinity;
    if (
      snapshot === undefined || snapshot.offset <= this.#state.offset ||
      snapshot.offset + 1 < first
    ) {
      throw new NotFoundError(
        "the log has dropped records that no snapshot in it covers; use 'contract show --node' without --log",
      );
    }
    this.#state = snapshot;
    this.#recordsWithoutVerdict = records.filter(({ offset, value }) =>
      offset <= snapshot.offset &&
      decodeConfigurationRecord(value) !== undefined
    );
  }
}
