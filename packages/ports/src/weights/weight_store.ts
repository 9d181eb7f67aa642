/**
 * Defines the port to the platform's rate-limited weight store. Engines fetch
 * weights from it themselves when they receive an order.
 * @module
 */
import type { ModelName, WeightVersion } from "@briarhill/common/ids/ids";

/** The rate limits of the weight store. */
export interface WeightStoreLimits {
  /**
   * The maximum number of fetches of one set of weights that may start per
   * second, over all engines.
   */
  readonly fetchesPerSecond: number;
}

/** The platform's weight store. */
export abstract class WeightStore {
  /**
   * Returns the versions of a model that the store holds, oldest first; throws
   * a `PortError` on failure.
   *
   * @param model - The model.
   */
  abstract getVersions(model: ModelName): Promise<readonly WeightVersion[]>;

  /** Returns the rate limits; throws a `PortError` on failure. */
  abstract getLimits(): Promise<WeightStoreLimits>;
}
