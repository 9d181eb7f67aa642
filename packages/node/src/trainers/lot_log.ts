/**
 * Reads and appends the delivery records of lots in the platform's log.
 * @module
 */
import type { DeliveryPage } from "@briarhill/rollout/delivery/delivery_ledger";
import {
  type DeliveryRecord,
  formatDeliveryRecord,
  parseDeliveryRecord,
} from "@briarhill/rollout/delivery/delivery_record";
import type { LogService } from "@briarhill/ports/log/log_service";
import { getLotStream, type LotName } from "./lot_name.ts";

const PAGE_RECORDS = 1000;

/** The streams of lots in the platform's log, one per lot. */
export class LotLog {
  readonly #log: LogService;

  constructor(log: LogService) {
    this.#log = log;
  }

  /**
   * Reads a lot's stream from an offset to its end.
   *
   * @param name - The lot.
   * @param from - The first offset to read.
   */
  async readPage(name: LotName, from: number): Promise<DeliveryPage> {
    const records: DeliveryPage["records"][number][] = [];
    let next = from;
    for (;;) {
      const page = await this.#log.read(getLotStream(name), {
        from: next,
        limit: PAGE_RECORDS,
      });
      for (const { offset, value } of page.records) {
        records.push({ offset, record: parseDeliveryRecord(value) });
        next = offset + 1;
      }
      if (next >= page.end || page.records.length === 0) {
        return { records, first: page.first, next: Math.max(next, page.end) };
      }
    }
  }

  /**
   * Appends a record to a lot's stream.
   *
   * @param name - The lot.
   * @param record - The record.
   */
  async append(name: LotName, record: DeliveryRecord): Promise<void> {
    await this.#log.append(getLotStream(name), formatDeliveryRecord(record));
  }
}
