/**
 * Computes the engine capacity that is available to training, as known to this host.
 * @module
 */
import type { ModelName } from "@briarhill/common/ids/ids";
import type { SchedulerCapacity } from "@briarhill/rollout/scheduling/scheduler_policies";
import { VersionHistory } from "@briarhill/rollout/staleness/version_history";
import type {
  EndpointDirectory,
  KnownEndpoint,
} from "../endpoints/endpoint_directory.ts";
import type { WeightVersions } from "../weights/weight_versions.ts";

/** Assumed slots of an engine while no engine has reported any. */
const DEFAULT_SLOTS = 8;
const DEFAULT_PACE = 0.05;

/** Computes the engine capacity that is available to training. */
export class TrainingCapacity {
  readonly #directory: EndpointDirectory;
  readonly #weights: WeightVersions;

  constructor(directory: EndpointDirectory, weights: WeightVersions) {
    this.#directory = directory;
    this.#weights = weights;
  }

  /**
   * Returns the slots and the version lag of all engines that serve one of the models.
   *
   * @param models - The models of the open lots.
   * @param nowMs - The monotonic time.
   */
  getCapacity(
    models: readonly ModelName[],
    nowMs: number,
  ): SchedulerCapacity {
    const engines = this.#directory.getEndpoints().filter((endpoint) =>
      endpoint.listed.kind === "engine" && !endpoint.leaving &&
      endpoint.listed.models.some((model) => models.includes(model))
    );
    const slots = countSlots(engines);
    const servedVersionsBehind = Math.max(
      0,
      ...[...new Set(models)].map((model) =>
        this.#countServedBehind(engines, model)
      ),
    );
    return {
      nowMs,
      slots,
      servedVersionsBehind,
      idleTokensPerMs: DEFAULT_PACE,
    };
  }

  /** Returns how many versions the slowest engine of a model is behind. */
  #countServedBehind(
    engines: readonly KnownEndpoint[],
    model: ModelName,
  ): number {
    const history = new VersionHistory(this.#weights.getVersions(model));
    const served = engines.flatMap(({ state }) =>
      (state?.models ?? []).filter((one) => one.model === model)
        .map((one) => history.countNewer(one.version))
    );
    return Math.max(0, ...served);
  }
}

/** Counts an engine without reported slots as the mean of the others. */
function countSlots(engines: readonly KnownEndpoint[]): number {
  const reported = engines
    .flatMap(({ load }) => load === undefined ? [] : [load.slots]);
  const sum = reported.reduce((total, slots) => total + slots, 0);
  const mean = reported.length === 0 ? DEFAULT_SLOTS : sum / reported.length;
  return Math.floor(sum + mean * (engines.length - reported.length));
}
