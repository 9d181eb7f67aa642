/**
 * Publishes contracts, and changes to them, while control is measured.
 * @module
 */
import {
  CONFIGURATION_STREAM,
  encodeConfigurationRecord,
  NO_REVISION,
} from "@briarhill/control/configuration/configuration_record";
import type { LogService } from "@briarhill/ports/log/log_service";

const WRITER = "bench";
const SHARE = "0.001";

/** Publishes contracts of many customers, and changes to these contracts. */
export class SlopeChanges {
  readonly #log: LogService;
  /** The last published revision of each customer's contract. */
  readonly #revisions: number[] = [];
  #sequence = 0;

  constructor(log: LogService) {
    this.#log = log;
  }

  /**
   * Publishes contracts until their number reaches a count.
   *
   * @param count - The number of contracts.
   */
  async publishContracts(count: number): Promise<void> {
    while (this.#revisions.length < count) {
      await this.#publish(this.#revisions.length);
    }
  }

  /** Publishes a change to one contract, in rotation. */
  async publishChange(): Promise<void> {
    await this.#publish(this.#sequence % this.#revisions.length);
  }

  /** Returns the newest revision. */
  getRevision(): number {
    return Math.max(NO_REVISION, ...this.#revisions);
  }

  async #publish(index: number): Promise<void> {
    const sequence = this.#sequence++;
    this.#revisions[index] = await this.#log.append(
      CONFIGURATION_STREAM,
      encodeConfigurationRecord({
        kind: "contract",
        writer: WRITER,
        session: WRITER,
        sequence,
        basedOn: this.#revisions[index] ?? NO_REVISION,
        customer: `customer-${index}`,
        sections: createSections(index, sequence),
      }),
    );
  }
}

function createSections(
  index: number,
  sequence: number,
): Record<string, Record<string, string | string[]>> {
  const limits = {
    max_open_calls: String(64 + sequence % 16),
    max_body_bytes: "1048576",
    deadline_ms: "30000",
  };
  return {
    contract: { customer: `customer-${index}` },
    keys: { sha256: [String(index).padStart(64, "0")] },
    engine_time: {
      share: SHARE,
      live_floor: "0.4",
      lend: "yes",
      take_back_ms: "2000",
    },
    live: {
      ...limits,
      models: ["names-es"],
      priority: "80",
      max_queued_calls: "128",
      max_tokens: "4096",
    },
    "service register": { ...limits, idempotent: "no" },
  };
}
