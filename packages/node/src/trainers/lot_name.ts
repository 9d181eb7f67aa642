/**
 * Names of lots over all customers.
 * @module
 */
import type { CustomerId, LotId } from "@briarhill/common/ids/ids";
import type { StreamName } from "@briarhill/ports/log/log_service";

/** Names one lot. */
export interface LotName {
  readonly customer: CustomerId;
  readonly id: LotId;
}

/**
 * Returns a key of a lot that no other lot of any customer has.
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
 * Returns the stream of the log that holds a lot's deliveries.
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
