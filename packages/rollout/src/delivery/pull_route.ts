/**
 * Decides which host answers a pull, and when a lot is taken over.
 * @module
 */
import type { HostId, Incarnation } from "@briarhill/common/ids/ids";
import type { DeliveryLedger } from "./delivery_ledger.ts";
import type { LotOwnerId } from "./delivery_record.ts";

/** The process that owns a lot, as observed by this host. */
export interface OwnerObservation {
  readonly incarnation: Incarnation;
  readonly state: "alive" | "suspect" | "leaving" | "failed";
}

/** How a pull is to be handled. */
export type PullRoute =
  /** No host has accepted the lot. */
  | { readonly kind: "unknown" }
  /** Records of the lot were trimmed from the log. */
  | { readonly kind: "expired" }
  | { readonly kind: "closed"; readonly reason: "delivered" | "cancelled" }
  /** This process owns the lot. */
  | { readonly kind: "serve" }
  | { readonly kind: "forward"; readonly host: HostId }
  /** The owner failed or restarted: take over the lot after this epoch. */
  | { readonly kind: "take"; readonly after: number };

/**
 * Decides how a pull is handled, from a ledger read to the end of the stream. A
 * takeover from an owner that is alive is safe, as the log decides between the
 * two, but the owner's finished samples are lost; a pull is therefore still
 * forwarded to an owner that is only suspected.
 *
 * @example
 * ```ts
 * const route = decidePullRoute(ledger, { self, observation });
 * ```
 * @param ledger - The lot's ledger.
 * @param hosts - This process, and the observed state of the owner.
 */
export function decidePullRoute(
  ledger: DeliveryLedger,
  hosts: {
    readonly self: LotOwnerId;
    readonly observation: OwnerObservation | undefined;
  },
): PullRoute {
  const owner = ledger.getOwner();
  const closed = ledger.getCloseReason();
  if (ledger.hasExpired()) {
    return { kind: "expired" };
  }
  if (owner === undefined) {
    return { kind: "unknown" };
  }
  if (closed !== undefined) {
    return { kind: "closed", reason: closed };
  }
  if (ledger.isOwner(hosts.self)) {
    return { kind: "serve" };
  }
  const isGone = hosts.observation === undefined ||
    hosts.observation.state === "failed" ||
    hosts.observation.incarnation !== owner.incarnation;
  return isGone
    ? { kind: "take", after: ledger.getEpoch() }
    : { kind: "forward", host: owner.host };
}
