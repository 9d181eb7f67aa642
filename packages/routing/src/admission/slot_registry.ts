/**
 * Use of this host's engine slots by customer, and the rules for starting more
 * requests. Training must never start in a live floor.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { AdmissionLimits } from "./admission_structure.ts";
import { CustomerAccount } from "./customer_account.ts";

/** Absorbs rounding errors, so that fractional slots that sum to an integer don't lose one slot. */
const ROUNDING_TOLERANCE_SLOTS = 1e-6;

/** Registry of the customer accounts that share the slots of this host. */
export class SlotRegistry {
  readonly #accounts = new Map<CustomerId, CustomerAccount>();
  #totalSlots = 0;

  /** Returns the number of slots of this host. */
  get totalSlots(): number {
    return this.#totalSlots;
  }

  /** Lists the accounts of all customers. */
  listAccounts(): readonly CustomerAccount[] {
    return [...this.#accounts.values()];
  }

  /**
   * Returns a customer's account.
   *
   * @param customer - The customer.
   */
  getAccount(customer: CustomerId): CustomerAccount | undefined {
    return this.#accounts.get(customer);
  }

  /**
   * Sets the limits and returns the removed accounts of customers without
   * limits.
   *
   * @param limits - The new limits.
   */
  setLimits(limits: AdmissionLimits): readonly CustomerAccount[] {
    this.#totalSlots = limits.totalSlots;
    const removed = new Map(this.#accounts);
    for (const customer of limits.customers) {
      removed.delete(customer.customer);
      const account = this.#accounts.get(customer.customer);
      if (account === undefined) {
        this.#accounts.set(customer.customer, new CustomerAccount(customer));
      } else {
        account.setLimits(customer);
      }
    }
    removed.forEach((_, customer) => this.#accounts.delete(customer));
    return [...removed.values()];
  }

  /**
   * Returns whether a request of a customer may start now.
   *
   * @param account - The customer's account.
   * @param kind - The class of the request.
   */
  canStart(account: CustomerAccount, kind: "live" | "rollouts"): boolean {
    return kind === "live"
      ? this.#canStartLive(account)
      : this.#hasFreeSlot(account, kind);
  }

  /** Returns whether a slot is neither in use nor reserved. */
  #hasFreeSlot(account: CustomerAccount, kind: "live" | "rollouts"): boolean {
    let unavailable = 0;
    for (const other of this.#accounts.values()) {
      unavailable += other.inUse;
      if (other !== account) {
        unavailable += other.countReserved();
      } else if (kind === "rollouts") {
        unavailable += other.countUnusedFloor();
      }
    }
    return unavailable + 1 <= this.#totalSlots + ROUNDING_TOLERANCE_SLOTS;
  }

  /**
   * Live calls start within the live floor, on a free slot, or in place of
   * training that the engines preempt for them.
   */
  #canStartLive(account: CustomerAccount): boolean {
    const { floorSlots, entitledSlots } = account.limits;
    if (
      account.live.running + 1 <= Math.ceil(floorSlots) ||
      this.#hasFreeSlot(account, "live")
    ) {
      return true;
    }
    const own = account.rollouts.running;
    const displaceable = account.inUse + 1 <= entitledSlots
      ? Math.max(own, this.#countBorrowed())
      : own;
    return this.countOvercommitted() + 1 <= displaceable;
  }

  /** Returns the number of running requests in excess of the slots. */
  countOvercommitted(): number {
    let inUse = 0;
    for (const account of this.#accounts.values()) {
      inUse += account.inUse;
    }
    return Math.max(
      0,
      inUse - Math.floor(this.#totalSlots + ROUNDING_TOLERANCE_SLOTS),
    );
  }

  /** Returns the customer with the most borrowed slots among those with running training. */
  findBorrower(): CustomerAccount | undefined {
    return this.#findLargest((account) => account.countBorrowed());
  }

  /** Returns the customer whose training is cancelled next: a borrower if there is one. */
  findVictim(): CustomerAccount | undefined {
    return this.findBorrower() ??
      this.#findLargest((account) => account.rollouts.running);
  }

  #countBorrowed(): number {
    let borrowed = 0;
    for (const account of this.#accounts.values()) {
      borrowed += Math.min(account.countBorrowed(), account.rollouts.running);
    }
    return borrowed;
  }

  #findLargest(
    count: (account: CustomerAccount) => number,
  ): CustomerAccount | undefined {
    let largest: CustomerAccount | undefined;
    let largestCount = 0;
    for (const account of this.#accounts.values()) {
      const accountCount = account.rollouts.running > 0 ? count(account) : 0;
      if (accountCount > largestCount) {
        largest = account;
        largestCount = accountCount;
      }
    }
    return largest;
  }
}
