/**
 * Plans which engine loads which weights next. An engine that can serve the
 * current step of a model must not load that model while an engine that can't
 * serve the step is free to load it.
 *
 * Load pattern: several trainers share the engines. Each announces a version
 * every few seconds and submits its next step immediately, and an engine that
 * loads a model starts no new requests for it meanwhile. A step also allows the
 * version before its own, so each version is loaded by an equal share of the
 * engines, taken from those whose version the step no longer allows. The engines
 * with the previous version serve the step from its start, the engines that load
 * join them later, and no engine is interrupted. Each model is thus served by
 * two shares of the engines, of which only one has to load.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import { hashPair, hashText } from "@briarhill/common/hashing/rendezvous";

/** Maximum share of all engines that can load at full speed at the same time; a bound of the platform (2 of 6, 7 of 24). */
const MAX_LOADING_SHARE = 0.29;

/** An order to an engine to load a version of a model. */
export interface LoadOrder {
  readonly engine: EndpointId;
  readonly model: string;
  readonly version: number;
}

/** The state of an engine that the plan depends on. */
export interface PlannedEngine {
  readonly id: EndpointId;
  /** The loaded version of each model. */
  readonly models: ReadonlyMap<string, number>;
  /** The order in flight, or one whose outcome is unknown. */
  readonly loading: LoadOrder | undefined;
}

/** Input of `decideLoads`. */
export interface WeightPlanInput {
  /** The newest version of each model that its trainer has announced. */
  readonly targetVersions: ReadonlyMap<string, number>;
  /** All models of the engine service. */
  readonly models: readonly string[];
  readonly engines: readonly PlannedEngine[];
}

interface Target {
  readonly model: string;
  readonly version: number;
}

/**
 * Returns the orders to send now.
 *
 * @example
 * ```ts
 * const orders = decideLoads({
 *   targetVersions: new Map([["m0", 2]]),
 *   models: ["m0"],
 *   engines: [{ id: "i-1", models: new Map([["m0", 1]]), loading: undefined }],
 * });
 * ```
 * @param input - The announced versions and the state of the engines.
 */
export function decideLoads(input: WeightPlanInput): readonly LoadOrder[] {
  const { engines } = input;
  const limit = Math.max(1, Math.round(MAX_LOADING_SHARE * engines.length));
  const loading = engines.filter((engine) => engine.loading !== undefined);
  const orders: LoadOrder[] = [];
  for (const target of sortByServingCount(input)) {
    const freeSlots = limit - loading.length - orders.length;
    const picked = pickEngines(input, { target, orders });
    picked.slice(0, Math.max(0, freeSlots)).forEach(({ id }) =>
      orders.push({ engine: id, ...target })
    );
  }
  return orders;
}

/** Returns how many engines load each version: at most half of all, rounded up, so that the others serve meanwhile. */
function computeLoadingCount({ models, engines }: WeightPlanInput): number {
  const equalShare = Math.floor(engines.length / Math.max(1, models.length));
  return Math.max(1, Math.min(equalShare, Math.ceil(engines.length / 2)));
}

/** Sorts the announced versions by the number of engines that can serve their step, fewest first. */
function sortByServingCount(
  { targetVersions, engines }: WeightPlanInput,
): readonly Target[] {
  const targets = [...targetVersions].map(([model, version]) => ({
    model,
    version,
  }));
  const countServingEngines = (target: Target) =>
    engines.filter((engine) => canServe(engine, target)).length;
  return targets
    .map((target) => ({ target, serving: countServingEngines(target) }))
    .sort((a, b) =>
      a.serving - b.serving || (a.target.model < b.target.model ? -1 : 1)
    )
    .map(({ target }) => target);
}

/**
 * Picks the engines to load a version: first those that can't serve its step,
 * then those with the fewest current versions of other models, so that the
 * models are spread evenly.
 */
function pickEngines(
  input: WeightPlanInput,
  plan: { readonly target: Target; readonly orders: readonly LoadOrder[] },
): readonly PlannedEngine[] {
  const { engines } = input;
  const { target, orders } = plan;
  const covered = engines.filter((engine) =>
    hasVersion(engine, target) || isLoading(engine, target)
  );
  const missing = computeLoadingCount(input) - covered.length;
  if (missing <= 0) {
    return [];
  }
  const orderedIds = new Set(orders.map(({ engine }) => engine));
  return engines
    .filter((engine) =>
      engine.loading === undefined && !hasVersion(engine, target) &&
      !orderedIds.has(engine.id)
    )
    .map((engine) => ({
      engine,
      serves: canServe(engine, target) ? 1 : 0,
      currentModels: countCurrentModels(engine, input),
      rendezvousScore: hashPair(hashText(target.model), hashText(engine.id)),
    }))
    .sort((a, b) =>
      a.serves - b.serves || a.currentModels - b.currentModels ||
      b.rendezvousScore - a.rendezvousScore
    )
    .slice(0, missing)
    .map(({ engine }) => engine);
}

/** Counts the models whose newest version an engine holds, or of which it loads a version. */
function countCurrentModels(
  engine: PlannedEngine,
  { targetVersions }: WeightPlanInput,
): number {
  return [...targetVersions].filter(([model, version]) =>
    hasVersion(engine, { model, version }) || engine.loading?.model === model
  ).length;
}

function getVersion(engine: PlannedEngine, model: string): number {
  return engine.models.get(model) ?? 0;
}

function hasVersion(
  engine: PlannedEngine,
  { model, version }: Target,
): boolean {
  return getVersion(engine, model) >= version;
}

function isLoading(engine: PlannedEngine, target: Target): boolean {
  return engine.loading?.model === target.model &&
    engine.loading.version >= target.version;
}

/** Returns whether an engine can serve the step of a version now: the step also allows the previous version. */
function canServe(
  engine: PlannedEngine,
  { model, version }: Target,
): boolean {
  return getVersion(engine, model) >= version - 1 &&
    engine.loading?.model !== model;
}
