/**
 * Lists the engines that may take a sample now.
 *
 * Under load, all samples of a step arrive at once, and the owners of several
 * trainers' lots, each of which knows only its own attempts, send to the same
 * engines. The number of requests per engine whose responses have not started
 * is therefore limited: the head of each response reports the load from all
 * callers, so that each owner fills an engine in steps and stops once others
 * have filled it. The remaining samples wait at their owner, where they can
 * still go to any engine; an engine that hangs holds only a few of them.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";

/**
 * Maximum number of requests beyond an engine's slots, so that a freed slot has
 * work at once.
 */
const MAX_QUEUED_REQUESTS = 1;
/**
 * Maximum number of requests whose responses have not started, as a share of an
 * engine's slots; the first requests of three owners together fill every slot.
 */
const MAX_UNANSWERED_SHARE = 0.5;

/** Utilization of an engine, as far as this host knows it. */
export interface EngineUtilization {
  /** Number of running and waiting requests, as far as known. */
  readonly requests: number;
  /** Number of this host's requests whose responses have not started. */
  readonly unanswered: number;
  /** Whether the engine is paused after failures. */
  readonly isPaused: boolean;
}

/** Options of {@link listAvailableEngines}. */
export interface EngineChoiceOptions {
  readonly engines: readonly EndpointStructure[];
  readonly model: string;
  readonly minVersion: number;
  readonly getUtilization: (engine: EndpointId) => EngineUtilization;
}

/**
 * Returns the engines that may take a sample now; empty if the sample has to
 * wait.
 *
 * @example
 * ```ts
 * const engines = listAvailableEngines({
 *   engines: [],
 *   model: "m0",
 *   minVersion: 1,
 *   getUtilization: () => ({ requests: 0, unanswered: 0, isPaused: false }),
 * });
 * ```
 * @param options - The engines, what the sample requires, and the engines' utilization.
 */
export function listAvailableEngines(
  options: EngineChoiceOptions,
): readonly EndpointStructure[] {
  const { engines, model, minVersion, getUtilization } = options;
  return engines.filter(({ id, slots, models }) => {
    const { requests, unanswered, isPaused } = getUtilization(id);
    return (models.get(model) ?? 0) >= minVersion && !isPaused &&
      requests < slots + MAX_QUEUED_REQUESTS &&
      unanswered < Math.ceil(MAX_UNANSWERED_SHARE * slots);
  });
}
