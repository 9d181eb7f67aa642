/**
 * State that the operator and the trainers publish: the configuration in force
 * and the newest version of each model. Version numbers must never decrease.
 * @module
 */
import { InputError } from "@briarhill/common/errors/errors";
import type { LogRecord } from "@briarhill/common/log/shared_log";
import type { Logger } from "@briarhill/common/logging/logger";
import {
  CONFIGURATION_KEY,
  VERSION_KEY_PREFIX,
} from "@briarhill/platform/names/topics";
import { decodeConfiguration } from "@briarhill/platform/records/configuration_decoder";
import { decodeVersion } from "@briarhill/platform/records/version_decoder";
import { RouteTable } from "@briarhill/routing/table/route_table";

/** The configuration in force and the newest version of each model. */
export class OperatorState {
  readonly #logger: Logger;
  readonly #onConfiguration: (table: RouteTable) => void;
  readonly #versions = new Map<string, number>();
  #table: RouteTable | undefined;

  /**
   * @param logger - Logs each change.
   * @param onConfiguration - Called with each configuration that comes into force.
   */
  constructor(logger: Logger, onConfiguration: (table: RouteTable) => void) {
    this.#logger = logger;
    this.#onConfiguration = onConfiguration;
  }

  /** The route table in force, or undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** The newest version of each model that its trainer has published. */
  get versions(): ReadonlyMap<string, number> {
    return this.#versions;
  }

  /**
   * Applies records in order. Logs and skips a record that can't be decoded.
   *
   * @param records - The records of the operator topic.
   */
  applyRecords(records: readonly LogRecord[]): void {
    for (const { key, value, offset } of records) {
      try {
        if (value.length > 0 && key === CONFIGURATION_KEY) {
          this.#applyConfiguration(value, offset);
        } else if (value.length > 0 && key.startsWith(VERSION_KEY_PREFIX)) {
          this.#applyVersion(value);
        }
      } catch (error) {
        if (!(error instanceof InputError)) {
          throw error;
        }
        this.#logger.error("operator-record-invalid", error, { key });
      }
    }
  }

  #applyConfiguration(value: LogRecord["value"], offset: number): void {
    const configuration = decodeConfiguration(value);
    const { version } = configuration;
    const inForce = this.#table?.version ?? -1;
    if (version <= inForce) {
      this.#logger.info("configuration-outdated", { version, inForce });
      return;
    }
    this.#table = new RouteTable(configuration);
    this.#logger.info("configuration-in-force", { version, offset });
    this.#onConfiguration(this.#table);
  }

  #applyVersion(value: LogRecord["value"]): void {
    const { model, version } = decodeVersion(value);
    if (version > (this.#versions.get(model) ?? 0)) {
      this.#versions.set(model, version);
      this.#logger.info("version-published", { model, version });
    }
  }
}
