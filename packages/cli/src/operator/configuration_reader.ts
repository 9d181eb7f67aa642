/**
 * Reads the configuration log up to its end and on.
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

/** Reads the configuration log up to its end and on. */
export class ConfigurationReader {
  readonly #log: LogService;
  readonly #verdicts: RecordVerdict[] = [];
  #state = EMPTY_CONFIGURATION;
  #unjudged: readonly LogRecord[] = [];

  constructor(log: LogService) {
    this.#log = log;
  }

  /** Returns the configuration after all that was read. */
  getState(): ConfigurationState {
    return this.#state;
  }

  /** Returns the verdicts on all records that were read, in their order. */
  getVerdicts(): readonly RecordVerdict[] {
    return this.#verdicts;
  }

  /** Returns the records that the log holds from before the snapshot. */
  getUnjudged(): readonly LogRecord[] {
    return this.#unjudged;
  }

  /**
   * Returns the first verdict on a record, or undefined when it was not read.
   *
   * @param id - The record.
   */
  findVerdict(id: RecordId): RecordVerdict | undefined {
    return this.#verdicts.find(({ record }) =>
      record !== undefined && isSameRecord(record, id)
    );
  }

  /** Reads on up to the end that the log tells. */
  async readToEnd(): Promise<void> {
    for (;;) {
      const from = this.#state.offset + 1;
      const page = await this.#log.read(CONFIGURATION_STREAM, { from });
      const { state, verdicts, gap } = applyPage(this.#state, page);
      if (gap) {
        await this.#closeGap(page.records);
        continue;
      }
      this.#state = state;
      this.#verdicts.push(...verdicts);
      if (state.offset + 1 >= page.end || page.records.length === 0) {
        return;
      }
    }
  }

  async #closeGap(records: readonly LogRecord[]): Promise<void> {
    const snapshot = await readNewestSnapshot(this.#log);
    const first = records[0]?.offset ?? Infinity;
    if (
      snapshot === undefined || snapshot.offset <= this.#state.offset ||
      snapshot.offset + 1 < first
    ) {
      throw new NotFoundError(
        "the log has dropped records that no snapshot in it covers; ask a node",
      );
    }
    this.#state = snapshot;
    this.#unjudged = records.filter(({ offset, value }) =>
      offset <= snapshot.offset &&
      decodeConfigurationRecord(value) !== undefined
    );
  }
}
