/**
 * Which engine loads which weights next.
 *
 * Load pattern: each trainer names a version every few seconds, and an engine
 * that loads serves nothing new of that model meanwhile. A step allows the
 * version before its own, so that half of a model's engines load each named
 * version in turn while the others go on; those that the step no longer allows
 * come first, and only where no engine could serve it do all load together.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import { assignEngines } from "./engine_assignment.ts";

/** The share of all engines that loads at full speed together (a bound of the platform: 2 of 6, 7 of 24). */
const LOADING_SHARE = 0.29;

/** An engine as the plan sees it. */
export interface PlannedEngine {
  readonly id: EndpointId;
  /** The version of each model that it holds. */
  readonly models: ReadonlyMap<string, number>;
  /** Whether an order to it is being carried out, or its end is not known. */
  readonly isBusy: boolean;
}

/** An order to load weights. */
export interface LoadOrder {
  readonly engine: EndpointId;
  readonly model: string;
  readonly version: number;
}

/** What is wanted, and where the engines are. */
export interface WeightPlanInput {
  /** The newest version of each model that its trainer has named. */
  readonly wanted: ReadonlyMap<string, number>;
  /** All models of the service. */
  readonly models: readonly string[];
  readonly engines: readonly PlannedEngine[];
}

/**
 * Returns the orders to give now.
 *
 * @example
 * ```ts
 * const orders = decideLoads({
 *   wanted: new Map([["m0", 2]]),
 *   models: ["m0"],
 *   engines: [{ id: "i-1", models: new Map([["m0", 1]]), isBusy: false }],
 * });
 * ```
 * @param input - What is wanted, and where the engines are.
 */
export function decideLoads(input: WeightPlanInput): readonly LoadOrder[] {
  const { engines, models } = input;
  const homes = assignEngines(models, engines.map(({ id }) => id));
  const limit = Math.max(1, Math.round(LOADING_SHARE * engines.length));
  const loading = engines.filter(({ isBusy }) => isBusy).length;
  const orders: LoadOrder[] = [];
  for (const [model, version] of sortByNeed(input)) {
    const home = engines.filter(({ id }) => homes.get(model)?.has(id));
    for (const engine of pickLoading(home, { model, version })) {
      if (loading + orders.length < limit) {
        orders.push({ engine: engine.id, model, version });
      }
    }
  }
  return orders;
}

/** The model whose engines are furthest behind comes first. */
function sortByNeed(
  { wanted, engines }: WeightPlanInput,
): readonly (readonly [string, number])[] {
  const getNewest = (model: string) =>
    Math.max(0, ...engines.map(({ models }) => models.get(model) ?? 0));
  return [...wanted].sort(([a, wantedA], [b, wantedB]) =>
    (wantedB - getNewest(b)) - (wantedA - getNewest(a)) || (a < b ? -1 : 1)
  );
}

function pickLoading(
  home: readonly PlannedEngine[],
  target: { readonly model: string; readonly version: number },
): readonly PlannedEngine[] {
  const { model, version } = target;
  const getVersion = (engine: PlannedEngine) => engine.models.get(model) ?? 0;
  const behind = home.filter((engine) =>
    getVersion(engine) < version && !engine.isBusy
  );
  const serving = home.filter((engine) =>
    getVersion(engine) >= version - 1 && !engine.isBusy
  );
  if (serving.length === 0) {
    return behind;
  }
  const stale = behind.filter((engine) => getVersion(engine) < version - 1);
  const rest = behind.filter((engine) => getVersion(engine) >= version - 1);
  const busy = home.filter(({ isBusy }) => isBusy).length;
  const newest = home.filter((engine) => getVersion(engine) >= version).length;
  const wantedNewest = Math.ceil(home.length / 2) - newest - busy;
  const needed = [
    ...stale,
    ...rest.slice(0, Math.max(0, wantedNewest - stale.length)),
  ];
  const mayLoad = Math.max(1, Math.floor(home.length / 2)) - busy;
  return needed.slice(0, Math.max(0, mayLoad));
}
