/**
 * The port to the platform's rate-limited weight store. Engines fetch weights from it themselves when ordered.
 * @module
 */
import type { ModelName, WeightVersion } from "@briarhill/common/ids/ids";

/** What the store allows. */
export interface WeightStoreLimits {
  /** Fetches of one set of weights that may start in a second, over all engines. */
  readonly fetchesPerSecond: number;
}

/** The platform's weight store. */
export abstract class WeightStore {
  /**
   * Returns the versions of a model that the store holds, oldest first; fails with a `PortError`.
   *
   * @param model - The model.
   */
  abstract getVersions(model: ModelName): Promise<readonly WeightVersion[]>;

  /** Returns what the store allows; fails with a `PortError`. */
  abstract getLimits(): Promise<WeightStoreLimits>;
}
