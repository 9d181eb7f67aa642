/**
 * The weights of a stand-in engine and the orders that change them.
 * @module
 */
import { FencedError } from "@briarhill/common/errors/errors";
import type { ModelName, WeightVersion } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import type {
  EngineModelState,
  EngineOrder,
  EngineState,
} from "@briarhill/ports/engine/engine";
import type { FaultPlan } from "../faults/fault_plan.ts";
import { createRejection } from "../faults/rejection.ts";
import type { FakeWeightStore } from "../weights/fake_weight_store.ts";
import type { FakeEngineSettings } from "./fake_engine_settings.ts";

const ORDER = { port: "engine", operation: "order" };

/** What the orders of an engine act on. */
export interface FakeModelsContext {
  readonly clock: Clock;
  readonly settings: FakeEngineSettings;
  readonly store: FakeWeightStore;
  readonly faults: FaultPlan;
}

interface FakeModel {
  version: WeightVersion;
  loaded: WeightVersion | undefined;
}

/** An order as it arrived. */
export interface ReceivedOrder {
  readonly order: EngineOrder;
  readonly atMs: number;
  readonly fenced: boolean;
}

/** The models of one engine: which versions serve, which are ready. */
export class FakeModels {
  readonly #context: FakeModelsContext;
  readonly #models = new Map<ModelName, FakeModel>();
  readonly #orders: ReceivedOrder[] = [];
  #role: EngineState["role"] = "mixed";
  #highestFencing = 0;

  constructor(context: FakeModelsContext) {
    this.#context = context;
    this.clear();
  }

  /** The role that the engine was last ordered to take. */
  get role(): EngineState["role"] {
    return this.#role;
  }

  /** Goes back to the weights of the start; the fencing number is forgotten. */
  clear(): void {
    this.#models.clear();
    this.#role = "mixed";
    this.#highestFencing = 0;
    for (
      const [model, version] of Object.entries(this.#context.settings.models)
    ) {
      this.#models.set(model, { version, loaded: undefined });
    }
  }

  /** Returns the orders in the order of their arrival. */
  getOrders(): readonly ReceivedOrder[] {
    return this.#orders;
  }

  /**
   * Returns the version that serves a model.
   *
   * @param model - The model.
   */
  getVersionOrThrow(model: ModelName): WeightVersion {
    return this.#getOrThrow(model).version;
  }

  /** Returns the state of each model. */
  getStates(): readonly EngineModelState[] {
    return [...this.#models].map(([model, { version, loaded }]) => ({
      model,
      version,
      ...(loaded === undefined ? {} : { loaded }),
      adapters: [],
    }));
  }

  /**
   * Carries an order out.
   *
   * @param order - The order.
   */
  async apply(order: EngineOrder): Promise<void> {
    this.#throwIfFenced(order);
    switch (order.kind) {
      case "role":
        this.#role = order.role;
        return;
      case "load":
        return await this.#fetchVersion(order.model, order.version);
      case "switch":
        return this.#setVersion(order.model, order.version);
    }
  }

  async #fetchVersion(name: ModelName, version: WeightVersion): Promise<void> {
    const model = this.#getOrThrow(name);
    if (model.version === version || model.loaded === version) {
      return;
    }
    const { clock, faults, settings, store } = this.#context;
    await store.fetch(name, version);
    await clock.sleep(settings.loadMs);
    await faults.run("load", () => {
      model.loaded = version;
    });
  }

  #setVersion(name: ModelName, version: WeightVersion): void {
    const model = this.#getOrThrow(name);
    if (model.version === version) {
      return;
    }
    if (model.loaded !== version) {
      throw createRejection(
        `version ${version} of "${name}" is not loaded`,
        ORDER,
      );
    }
    model.loaded = undefined;
    model.version = version;
  }

  #throwIfFenced(order: EngineOrder): void {
    const { checksFencing } = this.#context.settings;
    const fenced = checksFencing && order.fencing < this.#highestFencing;
    const atMs = this.#context.clock.getMonotonicMs();
    this.#orders.push({ order, atMs, fenced });
    if (fenced) {
      throw new FencedError(
        `fencing number ${order.fencing} is older than ${this.#highestFencing}`,
        {
          props: {
            port: "engine",
            operation: "order",
            fault: "rejected",
            outcome: "not-run",
          },
        },
      );
    }
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing);
  }

  #getOrThrow(name: ModelName): FakeModel {
    const model = this.#models.get(name);
    if (model === undefined) {
      throw createRejection(`no model "${name}" here`, ORDER);
    }
    return model;
  }
}
