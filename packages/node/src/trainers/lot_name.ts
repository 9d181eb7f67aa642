/**
 * Identifies lots across customers.
 * @module
 */
import type { CustomerId, LotId } from "@briarhill/common/ids/ids";
import type { StreamName } from "@briarhill/ports/log/log_service";

/** Identifies one lot; its id is unique only within its customer. */
export interface LotName {
  readonly customer: CustomerId;
  readonly id: LotId;
}

/**
 * Returns the key of a lot, which is unique across customers.
 *
 * @example
 * ```ts
 * const key = getLotKey({ customer: "agencia", id: "step-1" });
 * ```
 * @param name - The lot.
 */
export function getLotKey(name: LotName): string {
  return `${name.customer}/${name.id}`;
}

/**
 * Returns the log stream that holds a lot's delivery records.
 *
 * @example
 * ```ts
 * const stream = getLotStream({ customer: "agencia", id: "step-1" });
 * ```
 * @param name - The lot.
 */
export function getLotStream(name: LotName): StreamName {
  return `lots/${getLotKey(name)}`;
}
