/**
 * Measures the cost of one settle record at a host that reads a lot's stream,
 * against the size of the lot.
 * @module
 */
import { DeliveryLedger } from "@briarhill/rollout/delivery/delivery_ledger";
import {
  formatDeliveryRecord,
  parseDeliveryRecord,
} from "@briarhill/rollout/delivery/delivery_record";
import { RoleMeasure, type RoleState } from "./role_measure.ts";

const RECORDS_PER_LOT = 64;
/** The length of a SHA-256 hash in base64url. */
const HASH_LENGTH = 43;
const STEP_S = 180;
const WARM_UP_LOTS = 8;
const MEASURED_LOTS = 4;
const TARGET_SAMPLES = 16_384;

/** Measures the cost of one settle record at a host that reads a lot's stream. */
export class DeliveryMeasure extends RoleMeasure {
  override readonly role = "delivery";
  override readonly unit = "samples in a lot";
  override readonly sizes = [1024, 4096, 8192, TARGET_SAMPLES];
  override readonly target = {
    size: TARGET_SAMPLES,
    eventsPerSecond: RECORDS_PER_LOT / STEP_S,
    isControl: false,
  };

  override countWarmUp(): number {
    return RECORDS_PER_LOT * WARM_UP_LOTS;
  }

  /** Returns the events of complete lots. */
  override countEvents(): number {
    return RECORDS_PER_LOT * MEASURED_LOTS;
  }

  override buildState(size: number): RoleState {
    const held = { ledger: new DeliveryLedger() };
    const handleEvent = (index: number) => {
      const record = index % RECORDS_PER_LOT;
      if (record === 0) {
        held.ledger = createOpenLedger(size);
      }
      const { ledger } = held;
      const count = size / RECORDS_PER_LOT;
      const value = createSettleText(ledger, record * count, count);
      applyText(ledger, value);
      return value.length;
    };
    return { handleEvent, held };
  }
}

function createOpenLedger(samples: number): DeliveryLedger {
  const ledger = new DeliveryLedger();
  const value = formatDeliveryRecord({
    kind: "open",
    host: "self",
    incarnation: 1,
    customer: "customer-1",
    digest: "d".repeat(64),
    samples,
    keepers: ["other-1", "other-2"],
  });
  applyText(ledger, value);
  return ledger;
}

function createSettleText(
  ledger: DeliveryLedger,
  first: number,
  count: number,
): string {
  const samples = Array.from({ length: count }, (_, index) => ({
    position: first + index,
    slot: first + index,
    attempt: 1,
    hash: String(first + index).padStart(HASH_LENGTH, "h"),
  }));
  const epoch = ledger.getEpoch();
  return formatDeliveryRecord({ kind: "settle", epoch, samples });
}

function applyText(ledger: DeliveryLedger, value: string): void {
  const offset = ledger.getNextOffset();
  const record = parseDeliveryRecord(value);
  const records = [{ offset, record }];
  ledger.applyPage({ records, first: 0, next: offset + 1 });
}
