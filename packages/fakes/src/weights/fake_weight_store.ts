/**
 * A stand-in for the platform's rate-limited weight store.
 * @module
 */
import type { ModelName, WeightVersion } from "@briarhill/common/ids/ids";
import type { Clock } from "@briarhill/common/time/clock";
import {
  WeightStore,
  type WeightStoreLimits,
} from "@briarhill/ports/weights/weight_store";
import { FaultPlan } from "../faults/fault_plan.ts";
import { createRejection } from "../faults/rejection.ts";
import { RateLimit } from "../time/rate_limit.ts";

const DEFAULT_FETCHES_PER_SECOND = 10;
const FETCH = { port: "weights", operation: "fetch" };

/** One fetch of weights by an engine. */
export interface WeightFetch {
  readonly model: ModelName;
  readonly version: WeightVersion;
  readonly atMs: number;
}

/** A stand-in for the platform's weight store. */
export class FakeWeightStore extends WeightStore {
  readonly faults: FaultPlan;
  readonly #clock: Clock;
  #fetchesPerSecond: number;
  #limit: RateLimit;
  readonly #versions = new Map<ModelName, readonly WeightVersion[]>();
  readonly #fetches: WeightFetch[] = [];

  constructor(clock: Clock, fetchesPerSecond = DEFAULT_FETCHES_PER_SECOND) {
    super();
    this.#clock = clock;
    this.#fetchesPerSecond = fetchesPerSecond;
    this.#limit = new RateLimit(clock, fetchesPerSecond);
    this.faults = new FaultPlan("weights", clock);
  }

  /**
   * Adds a version of a model; adding one again does nothing.
   *
   * @param model - The model.
   * @param version - The version.
   */
  addVersion(model: ModelName, version: WeightVersion): void {
    const versions = new Set(this.#versions.get(model) ?? []).add(version);
    this.#versions.set(model, [...versions].sort((a, b) => a - b));
  }

  /**
   * Returns the newest version that was added, without faults.
   *
   * @param model - The model.
   */
  getNewestVersion(model: ModelName): WeightVersion | undefined {
    return this.#versions.get(model)?.at(-1);
  }

  /**
   * Changes the rate that the store allows.
   *
   * @param fetchesPerSecond - The new rate.
   */
  setFetchesPerSecond(fetchesPerSecond: number): void {
    this.#fetchesPerSecond = fetchesPerSecond;
    this.#limit = new RateLimit(this.#clock, fetchesPerSecond);
  }

  /** Returns the fetches that were let through, in order. */
  getFetches(): readonly WeightFetch[] {
    return this.#fetches;
  }

  /**
   * Fetches a set of weights, as engines do; one over the rate is refused.
   *
   * @param model - The model.
   * @param version - The version.
   */
  fetch(model: ModelName, version: WeightVersion): Promise<void> {
    return this.faults.run("fetch", () => {
      if (!this.#versions.get(model)?.includes(version)) {
        throw createRejection(`no version ${version} of "${model}"`, FETCH);
      }
      const waitMs = this.#limit.acquire();
      if (waitMs > 0) {
        throw createRejection("too many fetches in this second", {
          ...FETCH,
          retryAfterMs: waitMs,
        });
      }
      const atMs = this.#clock.getMonotonicMs();
      this.#fetches.push({ model, version, atMs });
    });
  }

  override getVersions(model: ModelName): Promise<readonly WeightVersion[]> {
    return this.faults.run(
      "getVersions",
      () => this.#versions.get(model) ?? [],
    );
  }

  override getLimits(): Promise<WeightStoreLimits> {
    const fetchesPerSecond = this.#fetchesPerSecond;
    return this.faults.run("getLimits", () => ({ fetchesPerSecond }));
  }
}
