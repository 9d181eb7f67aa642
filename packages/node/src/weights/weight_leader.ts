/**
 * Leads the weight rollouts whose leases this host holds: it reads and orders
 * engines as the decision says.
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
import type { LeaseKeeper, LeaseName } from "../leases/lease_keeper.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { AnnouncedVersion } from "./weight_versions.ts";

const TICK_MS = 100;
const LIMITS_MS = 30_000;
/** How often the engines and the live floor are looked up. */
const REFRESH_MS = 1_000;
const LEASE_PREFIX = "weights/";

/** The other parts that the leader works with. */
export interface WeightLeaderParts {
  readonly directory: EndpointDirectory;
  readonly leases: LeaseKeeper;
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
  readonly #parts: WeightLeaderParts;
  readonly #newest = new Map<ModelName, AnnouncedVersion>();
  readonly #led = new Map<ModelName, LedModel>();
  readonly #sought = new Set<ModelName>();
  #isReleased = false;
  #soughtAtMs = -Infinity;
  #fetchesPerSecond = 1;
  #limitsReadMs = -Infinity;

  constructor(context: NodeContext, parts: WeightLeaderParts) {
    this.#context = context;
    this.#parts = parts;
  }

  /**
   * Takes in an announced version.
   *
   * @param announced - The version.
   */
  handleAnnounced(announced: AnnouncedVersion): void {
    this.#newest.set(announced.model, announced);
    this.#led.get(announced.model)?.rollout.handleAnnounced(announced.version);
  }

  /** Gives up the leases, so that another host leads on at once. */
  async release(): Promise<void> {
    const models = [...this.#sought];
    this.#isReleased = true;
    this.#led.clear();
    await Promise.all(
      models.map((model) => this.#parts.leases.release(getLeaseName(model))),
    );
  }

  /**
   * Leads until the signal aborts.
   *
   * @param signal - Ends the work.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#readLimitsIfDue();
      this.#seekLeases();
      for (const model of this.#sought) {
        this.#advance(model);
      }
      await this.#context.clock.sleep(TICK_MS, signal);
    }
  }

  /** Leases are sought before the first version, so that none waits for one. */
  #seekLeases(): void {
    const nowMs = this.#context.clock.getMonotonicMs();
    if (this.#isReleased || nowMs - this.#soughtAtMs < REFRESH_MS) {
      return;
    }
    this.#soughtAtMs = nowMs;
    const models = this.#parts.directory.getEndpoints()
      .flatMap(({ listed }) => listed.models);
    for (const model of new Set(models)) {
      if (!this.#sought.has(model)) {
        this.#sought.add(model);
        this.#parts.leases.seek(getLeaseName(model));
      }
    }
  }

  #advance(model: ModelName): void {
    const led = this.#getLed(model);
    if (led === undefined) {
      return;
    }
    const nowMs = this.#context.clock.getMonotonicMs();
    if (nowMs - led.refreshedAtMs >= REFRESH_MS) {
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
      this.#parts.directory.getEndpoints()
        .filter(({ listed, leaving }) =>
          listed.kind === "engine" && !leaving && listed.models.includes(model)
        )
        .map(({ listed }) => ({ ...listed, endpoint: listed.id })),
    );
  }

  /** A new fencing number is a new term: nothing known before counts. */
  #getLed(model: ModelName): LedModel | undefined {
    const fencing = this.#parts.leases.getFencing(getLeaseName(model));
    const known = this.#led.get(model);
    const announced = this.#newest.get(model);
    if (fencing === undefined) {
      this.#led.delete(model);
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
    this.#led.set(model, led);
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
      const engine = this.#parts.directory.getEngine(endpoint);
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

  /** The number is looked up at the last moment, as the lease may be over. */
  async #callEngine(
    engine: Engine | undefined,
    model: ModelName,
    command: WeightCommand,
  ): Promise<EngineState | undefined> {
    const fencing = this.#parts.leases.getFencing(getLeaseName(model));
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
    const isFirst = this.#parts.leases.isFirstHolder(getLeaseName(model));
    return {
      ...DEFAULT_ROLLOUT_OPTIONS,
      ...isFirst && { longestOrderMs: 0 },
      liveFloor: computeLiveFloor(model, {
        contracts: this.#parts.contracts.getContracts(),
        engines: this.#parts.directory.getEndpoints()
          .map(({ listed }) => listed)
          .filter(({ kind }) => kind === "engine"),
      }),
      fetchesPerSecond: this.#fetchesPerSecond,
    };
  }

  #readLimitsIfDue(): void {
    const nowMs = this.#context.clock.getMonotonicMs();
    if (nowMs - this.#limitsReadMs < LIMITS_MS) {
      return;
    }
    this.#limitsReadMs = nowMs;
    this.#context.weightStore.getLimits().then(
      (limits) => this.#fetchesPerSecond = limits.fetchesPerSecond,
      (error) => this.#context.logger.error("weight-limits-failed", error),
    );
  }
}

function getLeaseName(model: ModelName): LeaseName {
  return `${LEASE_PREFIX}${model}`;
}
