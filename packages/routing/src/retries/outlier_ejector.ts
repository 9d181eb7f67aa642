/**
 * Ejects endpoints that fail repeatedly. A fault that affects all endpoints must
 * not eject all of them.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";

const FAILURES_TO_EJECT = 3;
const BASE_EJECTION_MS = 2000;
const MAX_EJECTION_MS = 60_000;
/** Maximum share of endpoints that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.34;
/** Time over which the share of picks of a returning endpoint grows back to 1. */
const RAMP_UP_MS = 10_000;
const MIN_PICK_SHARE = 0.05;

interface EndpointRecord {
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
}

/**
 * Ejects endpoints after consecutive failures, each time for longer. The share of
 * ejected endpoints is limited, so that a fault common to all doesn't eject all
 * of them. The share of picks of an endpoint grows gradually after its ejection.
 */
export class OutlierEjector {
  readonly #records = new Map<EndpointId, EndpointRecord>();

  /**
   * Records a successful response.
   *
   * @param id - The endpoint's ID.
   * @param nowMs - The current time.
   */
  recordSuccess(id: EndpointId, nowMs: number): void {
    const record = this.#records.get(id);
    if (record === undefined) {
      return;
    }
    record.failures = 0;
    if (nowMs > record.ejectedUntilMs + RAMP_UP_MS) {
      this.#records.delete(id);
    }
  }

  /**
   * Records a failure that the endpoint caused.
   *
   * @param id - The endpoint's ID.
   * @param options - The current time and the number of all endpoints.
   */
  recordFailure(
    id: EndpointId,
    options: { readonly nowMs: number; readonly total: number },
  ): void {
    const { nowMs, total } = options;
    const record = this.#records.get(id) ??
      { failures: 0, ejections: 0, ejectedUntilMs: -Infinity };
    this.#records.set(id, record);
    if (nowMs < record.ejectedUntilMs) {
      return; // Requests sent before the ejection fail too and don't extend it.
    }
    record.failures++;
    const ejected = this.#countEjected(nowMs);
    if (
      record.failures >= FAILURES_TO_EJECT &&
      ejected + 1 <= total * MAX_EJECTED_SHARE
    ) {
      const ejectionMs = BASE_EJECTION_MS * 2 ** record.ejections;
      record.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, ejectionMs);
      record.ejections++;
      record.failures = FAILURES_TO_EJECT - 1;
    }
  }

  /**
   * Returns the share of picks for which an endpoint is eligible, from 0 to 1.
   *
   * @param id - The endpoint's ID.
   * @param nowMs - The current time.
   */
  getPickShare(id: EndpointId, nowMs: number): number {
    const record = this.#records.get(id);
    if (record === undefined || record.ejections === 0) {
      return 1;
    }
    const sinceEjectionMs = nowMs - record.ejectedUntilMs;
    return sinceEjectionMs < 0
      ? 0
      : Math.min(1, Math.max(MIN_PICK_SHARE, sinceEjectionMs / RAMP_UP_MS));
  }

  /**
   * Removes the record of an endpoint that no longer exists.
   *
   * @param id - The endpoint's ID.
   */
  remove(id: EndpointId): void {
    this.#records.delete(id);
  }

  #countEjected(nowMs: number): number {
    let ejected = 0;
    for (const { ejectedUntilMs } of this.#records.values()) {
      ejected += ejectedUntilMs > nowMs ? 1 : 0;
    }
    return ejected;
  }
}
