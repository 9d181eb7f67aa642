/**
 * Which engine generates a sample.
 *
 * Load pattern: all samples of a step arrive at once. The engines that belong
 * to the model take them up to a bound, the rest waits here, where it can
 * still go to any of them; engines of other models help only where none of the
 * model's own can serve.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import type { EndpointStructure } from "@briarhill/routing/endpoints/endpoint";

/** Requests beyond an engine's slots, so that a slot that becomes free has work at once. */
const QUEUED_AHEAD = 1;

/** What a choice is made from. */
export interface EngineChoiceInput {
  readonly engines: readonly EndpointStructure[];
  readonly model: string;
  readonly minVersion: number;
  /** The engines that belong to the model. */
  readonly home: ReadonlySet<EndpointId>;
  /** Running and waiting requests of an engine, as far as is known. */
  readonly getRequests: (engine: EndpointId) => number;
  /** Whether an engine is held back after failures. */
  readonly isPaused: (engine: EndpointId) => boolean;
}

/**
 * Returns the engines that may take a sample now; empty where it has to wait.
 *
 * @example
 * ```ts
 * const engines = listEngines({
 *   engines: [],
 *   model: "m0",
 *   minVersion: 1,
 *   home: new Set(),
 *   getRequests: () => 0,
 *   isPaused: () => false,
 * });
 * ```
 * @param input - What the choice is made from.
 */
export function listEngines(
  input: EngineChoiceInput,
): readonly EndpointStructure[] {
  const { engines, model, minVersion, home, getRequests, isPaused } = input;
  const able = engines.filter(({ id, models }) =>
    (models.get(model) ?? 0) >= minVersion && !isPaused(id)
  );
  const own = able.filter(({ id }) => home.has(id));
  const chosen = own.length > 0 ? own : able;
  return chosen.filter(({ id, slots }) =>
    getRequests(id) < slots + QUEUED_AHEAD
  );
}
