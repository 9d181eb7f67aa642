/**
 * Leads the weight rollouts whose leases this host holds: executes the commands
 * of the rollouts at the engines. Each order must carry the current fencing
 * number.
 * @module
 */
import type { ModelName } from "@briarhill/common/ids/ids";
import { computeLiveFloor } from "@briarhill/control/weights/live_floor";
import {
  DEFAULT_ROLLOUT_OPTIONS,
  type WeightCommand,
  WeightRollout,
  type WeightRolloutOptions,
} from "@briarhill/control/weights/weight_rollout";
import type { Engine, EngineState } from "@briarhill/ports/engine/engine";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { EndpointDirectory } from "../endpoints/endpoint_directory.ts";
import type { LeaseManager, LeaseName } from "../leases/lease_manager.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { AnnouncedVersion } from "./weight_versions.ts";

const TICK_INTERVAL_MS = 100;
const LIMITS_REFRESH_INTERVAL_MS = 30_000;
/** Interval at which the engines, the live floor and the leases to seek are updated. */
const REFRESH_INTERVAL_MS = 1_000;
const LEASE_PREFIX = "weights/";

/** Options of a {@link WeightLeader}. */
export interface WeightLeaderOptions {
  readonly directory: EndpointDirectory;
  readonly leases: LeaseManager;
  readonly contracts: ContractSource;
}

interface LedModel {
  readonly fencing: number;
  readonly rollout: WeightRollout;
  refreshedAtMs: number;
}

/** Leads the weight rollouts whose leases this host holds. */
export class WeightLeader {
  readonly #context: NodeContext;
  readonly #options: WeightLeaderOptions;
  readonly #newestVersions = new Map<ModelName, AnnouncedVersion>();
  readonly #ledModels = new Map<ModelName, LedModel>();
  readonly #soughtModels = new Set<ModelName>();
  #isReleased = false;
  #leasesSoughtAtMs = -Infinity;
  #fetchesPerSecond = 1;
  #limitsReadAtMs = -Infinity;

  constructor(context: NodeContext, options: WeightLeaderOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Handles an announced version.
   *
   * @param announced - The version.
   */
  handleAnnounced(announced: AnnouncedVersion): void {
    this.#newestVersions.set(announced.model, announced);
    this.#ledModels.get(announced.model)?.rollout.handleAnnounced(
      announced.version,
    );
  }

  /** Releases the leases, so that another host can take over the rollouts immediately. */
  async release(): Promise<void> {
    const models = [...this.#soughtModels];
    this.#isReleased = true;
    this.#ledModels.clear();
    await Promise.all(
      models.map((model) => this.#options.leases.release(getLeaseName(model))),
    );
  }

  /**
   * Leads the rollouts until the signal aborts.
   *
   * @param signal - Stops the leader.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#readLimitsIfDue();
      this.#seekLeases();
      for (const model of this.#soughtModels) {
        this.#advance(model);
      }
      await this.#context.clock.sleep(TICK_INTERVAL_MS, signal);
    }
  }

  /** Seeks the leases before the first version is announced, so that no version waits for a lease. */
  #seekLeases(): void {
    const nowMs = this.#context.clock.getMonotonicMs();
    if (
      this.#isReleased || nowMs - this.#leasesSoughtAtMs < REFRESH_INTERVAL_MS
    ) {
      return;
    }
    this.#leasesSoughtAtMs = nowMs;
    const models = this.#options.directory.getEndpoints()
      .flatMap(({ listed }) => listed.models);
    for (const model of new Set(models)) {
      if (!this.#soughtModels.has(model)) {
        this.#soughtModels.add(model);
        this.#options.leases.seek(getLeaseName(model));
      }
    }
  }

  #advance(model: ModelName): void {
    const led = this.#getLedModel(model);
    if (led === undefined) {
      return;
    }
    const nowMs = this.#context.clock.getMonotonicMs();
    if (nowMs - led.refreshedAtMs >= REFRESH_INTERVAL_MS) {
      led.refreshedAtMs = nowMs;
      this.#updateRollout(model, led);
    }
    for (const command of led.rollout.advance(nowMs)) {
      void this.#runCommand(model, led, command);
    }
  }

  #updateRollout(model: ModelName, led: LedModel): void {
    led.rollout.setOptions(this.#getOptions(model));
    led.rollout.handleEngines(
      this.#options.directory.getEndpoints()
        .filter(({ listed, leaving }) =>
          listed.kind === "engine" && !leaving && listed.models.includes(model)
        )
        .map(({ listed }) => ({ ...listed, endpoint: listed.id })),
    );
  }

  /** Returns the model's rollout. A new fencing number starts a new term, so earlier state is discarded. */
  #getLedModel(model: ModelName): LedModel | undefined {
    const fencing = this.#options.leases.getFencing(getLeaseName(model));
    const known = this.#ledModels.get(model);
    const announced = this.#newestVersions.get(model);
    if (fencing === undefined) {
      this.#ledModels.delete(model);
      return undefined;
    }
    if (known?.fencing === fencing) {
      return known;
    }
    const nowMs = this.#context.clock.getMonotonicMs();
    const rollout = new WeightRollout(this.#getOptions(model), nowMs);
    if (announced !== undefined) {
      rollout.handleAnnounced(announced.version);
    }
    const led = { fencing, rollout, refreshedAtMs: -Infinity };
    this.#ledModels.set(model, led);
    this.#context.logger.info("weights-led", { model, fencing });
    return led;
  }

  async #runCommand(
    model: ModelName,
    led: LedModel,
    command: WeightCommand,
  ): Promise<void> {
    const { endpoint } = command;
    const { clock, logger } = this.#context;
    try {
      const engine = this.#options.directory.getEngine(endpoint);
      const state = await this.#callEngine(engine, model, command);
      const weights = state?.models.find((held) => held.model === model);
      if (weights === undefined) {
        led.rollout.handleFailure(endpoint, clock.getMonotonicMs());
        return;
      }
      const { version, loaded } = weights;
      const nowMs = clock.getMonotonicMs();
      led.rollout.handleWeights(endpoint, { version, loaded }, nowMs);
    } catch (error) {
      led.rollout.handleFailure(endpoint, clock.getMonotonicMs());
      logger.error("weights-order-failed", error, { endpoint });
    }
  }

  /** Gets the fencing number immediately before the call, as the lease may have expired. */
  async #callEngine(
    engine: Engine | undefined,
    model: ModelName,
    command: WeightCommand,
  ): Promise<EngineState | undefined> {
    const fencing = this.#options.leases.getFencing(getLeaseName(model));
    if (engine === undefined || fencing === undefined) {
      return undefined;
    }
    if (command.kind === "read") {
      return await engine.getState();
    }
    const { kind, version } = command;
    return await engine.order({ kind, model, version, fencing });
  }

  #getOptions(model: ModelName): WeightRolloutOptions {
    const isFirst = this.#options.leases.isFirstHolder(getLeaseName(model));
    return {
      ...DEFAULT_ROLLOUT_OPTIONS,
      ...isFirst && { longestOrderMs: 0 },
      liveFloor: computeLiveFloor(model, {
        contracts: this.#options.contracts.getContracts(),
        engines: this.#options.directory.getEndpoints()
          .map(({ listed }) => listed)
          .filter(({ kind }) => kind === "engine"),
      }),
      fetchesPerSecond: this.#fetchesPerSecond,
    };
  }

  #readLimitsIfDue(): void {
    const nowMs = this.#context.clock.getMonotonicMs();
    if (nowMs - this.#limitsReadAtMs < LIMITS_REFRESH_INTERVAL_MS) {
      return;
    }
    this.#limitsReadAtMs = nowMs;
    this.#context.weightStore.getLimits().then(
      (limits) => this.#fetchesPerSecond = limits.fetchesPerSecond,
      (error) => this.#context.logger.error("weight-limits-failed", error),
    );
  }
}

function getLeaseName(model: ModelName): LeaseName {
  return `${LEASE_PREFIX}${model}`;
}
