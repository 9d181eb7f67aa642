/**
 * Measures the cost of one append of claims at the host that writes their
 * stream, against the number of retained keys.
 * @module
 */
import { CLAIM_STREAMS } from "@briarhill/routing/claims/claim_structure";
import { ClaimStreamModel } from "./claim_stream_model.ts";
import { RoleMeasure, type RoleState } from "./role_measure.ts";

const CALLS_PER_SECOND = 900;
const APPENDS_PER_SECOND = 6.25;
const APPEND_INTERVAL_MS = 1000 / APPENDS_PER_SECOND;
const CLAIMS_PER_APPEND = CALLS_PER_SECOND / CLAIM_STREAMS / APPENDS_PER_SECOND;
const SECONDS_PER_DAY = 86_400;

/** Measures the cost of one append of claims at the writer of their stream. */
export class ClaimMeasure extends RoleMeasure {
  override readonly role = "at-most-once claims";
  override readonly unit = "keys of a stream";
  override readonly sizes = [9000, 36_000, 90_000, 180_000];
  override readonly target = {
    size: CALLS_PER_SECOND / CLAIM_STREAMS * SECONDS_PER_DAY,
    eventsPerSecond: APPENDS_PER_SECOND,
    isControl: false,
  };

  override countWarmUp(size: number): number {
    return size / CLAIMS_PER_APPEND;
  }

  override buildState(): RoleState {
    const stream = new ClaimStreamModel(APPEND_INTERVAL_MS);
    const handleEvent = (index: number) =>
      stream.handleBatch(index * CLAIMS_PER_APPEND, CLAIMS_PER_APPEND);
    return { handleEvent, held: stream };
  }
}
