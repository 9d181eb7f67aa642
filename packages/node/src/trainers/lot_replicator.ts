/**
 * Maintains the number of live hosts that hold a copy of each lot owned here.
 * @module
 */
import type { LotReplicas } from "./lot_replicas.ts";
import type { LotRegistry } from "./lot_registry.ts";

/**
 * Maintains the number of live hosts that hold a copy of each lot owned here. A
 * host that failed or restarted has lost its copy, so another one receives it.
 */
export class LotReplicator {
  readonly #replicas: LotReplicas;
  readonly #registry: LotRegistry;
  #isRunning = false;

  constructor(
    options: { readonly replicas: LotReplicas; readonly registry: LotRegistry },
  ) {
    this.#replicas = options.replicas;
    this.#registry = options.registry;
  }

  /** Sends copies of undelivered lots that too few live hosts hold. */
  async advance(): Promise<void> {
    if (this.#isRunning) {
      return;
    }
    this.#isRunning = true;
    for (const { lot, runner } of this.#registry.listOwned()) {
      if (!runner.owner.getProgress().isDelivered) {
        await this.#replicas.sendLot(lot.structure);
      }
    }
    this.#isRunning = false;
  }
}
