/**
 * Holds the trainers of a host: their terms, and how many lots each may run
 * ahead now.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { TrainerTerms } from "./scheduler_policies.ts";

/** The trainers of a host. */
export class TrainerTable {
  readonly #terms = new Map<CustomerId, TrainerTerms>();
  /** Number of lots delivered since the customer's last announcement of weights. */
  readonly #lotsAwaitingWeights = new Map<CustomerId, number>();
  #versionsBehind = 0;

  /** Lists all trainers with their terms. */
  listTerms(): readonly (readonly [CustomerId, TrainerTerms])[] {
    return [...this.#terms];
  }

  /**
   * Sets the terms of a trainer.
   *
   * @param customer - The trainer's customer.
   * @param terms - Its terms.
   */
  setTerms(customer: CustomerId, terms: TrainerTerms): void {
    this.#terms.set(customer, terms);
  }

  /**
   * Sets the number of versions by which the most outdated engine is behind the
   * newest version.
   *
   * @param versions - The number of versions.
   */
  setVersionsBehind(versions: number): void {
    this.#versionsBehind = versions;
  }

  /**
   * Handles the delivery of a complete lot; the trainer will announce new
   * weights.
   *
   * @param customer - The trainer's customer.
   */
  handleDelivered(customer: CustomerId): void {
    const count = this.#lotsAwaitingWeights.get(customer) ?? 0;
    this.#lotsAwaitingWeights.set(customer, count + 1);
  }

  /**
   * Handles new weights that a trainer has announced.
   *
   * @param customer - The trainer's customer.
   */
  handleAnnounced(customer: CustomerId): void {
    const count = this.#lotsAwaitingWeights.get(customer) ?? 0;
    this.#lotsAwaitingWeights.set(customer, Math.max(0, count - 1));
  }

  /**
   * Returns the number of lots besides the first that may run now, so that none
   * of their samples exceeds its staleness bound once the lots before it have
   * been delivered and followed by new weights.
   *
   * @param customer - The trainer's customer.
   */
  getRunAhead(customer: CustomerId): number {
    const terms = this.#terms.get(customer);
    if (terms === undefined) {
      return 0;
    }
    const remainingVersions = terms.maxVersionsBehind - this.#versionsBehind;
    const lotsAwaitingWeights = this.#lotsAwaitingWeights.get(customer) ?? 0;
    return Math.min(terms.runAheadLots, remainingVersions) -
      lotsAwaitingWeights;
  }
}
