/**
 * Accounting of one customer's limits, flows and usage on this host.
 * @module
 */
import type { RequestId } from "@briarhill/common/ids/ids";
import type { CustomerLimits, CustomerUsage } from "./admission_structure.ts";
import { Flow } from "./flow.ts";

/** Minimum weight, so that a customer without a share still progresses while engines are idle. */
const MIN_WEIGHT = 0.001;

/** Limits, flows and usage of one customer on this host. */
export class CustomerAccount {
  readonly live = new Flow();
  readonly rollouts = new Flow();
  #limits: CustomerLimits;
  #tokenSeconds = 0;

  constructor(limits: CustomerLimits) {
    this.#limits = limits;
  }

  /** Returns the current limits. */
  get limits(): CustomerLimits {
    return this.#limits;
  }

  /** Returns the fair-queueing weight of the customer's flows. */
  get weight(): number {
    return Math.max(MIN_WEIGHT, this.#limits.entitledSlots);
  }

  /** Returns the number of slots in use. */
  get inUse(): number {
    return this.live.running + this.rollouts.running;
  }

  /**
   * Sets the limits.
   *
   * @param limits - The new limits.
   */
  setLimits(limits: CustomerLimits): void {
    this.#limits = limits;
  }

  /** Returns the number of slots that no other customer may use now. */
  countReserved(): number {
    const { entitledSlots, lend } = this.#limits;
    const floor = this.countUnusedFloor();
    return lend ? floor : Math.max(floor, entitledSlots - this.inUse);
  }

  /** Returns the number of live floor slots that no live call uses. */
  countUnusedFloor(): number {
    return Math.max(0, this.#limits.floorSlots - this.live.running);
  }

  /** Returns the number of slots in use beyond the entitled slots. */
  countBorrowed(): number {
    return Math.max(0, this.inUse - Math.ceil(this.#limits.entitledSlots));
  }

  /** Returns whether one more rollout fits into the entitled slots, unused live floor excluded. */
  hasRolloutEntitlement(): boolean {
    return this.inUse + this.countUnusedFloor() + 1 <=
      this.#limits.entitledSlots;
  }

  /**
   * Adds used engine time.
   *
   * @param tokenSeconds - The token-seconds used.
   */
  addUsage(tokenSeconds: number): void {
    this.#tokenSeconds += tokenSeconds;
  }

  /** Frees the slot of the most recently started rollout and returns its id. */
  cancelNewest(): RequestId | undefined {
    const id = this.rollouts.getNewest();
    if (id !== undefined) {
      const settlement = { cost: undefined, weight: this.weight };
      this.addUsage(this.rollouts.finishRunning(id, settlement) ?? 0);
    }
    return id;
  }

  /** Returns the customer's usage. */
  getUsage(): CustomerUsage {
    return {
      customer: this.#limits.customer,
      liveRunning: this.live.running,
      liveQueued: this.live.queued,
      rolloutsRunning: this.rollouts.running,
      rolloutsQueued: this.rollouts.queued,
      tokenSeconds: this.#tokenSeconds,
    };
  }
}
