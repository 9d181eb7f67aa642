/**
 * Which engines hold the current weights of which model.
 *
 * Load pattern: several trainers share few engines, and each named version
 * costs a load an engine. Every model gets an equal share of the engines, so
 * that a version is loaded only there; the rest of the engines are lent as
 * others fail.
 * @module
 */
import type { EndpointId } from "@briarhill/common/ids/ids";
import { hashPair, hashText } from "@briarhill/common/hashing/rendezvous";

/**
 * Returns the engines of each model. Every host computes the same from the
 * same engines, and one that leaves moves few of the others.
 *
 * @example
 * ```ts
 * const homes = assignEngines(["m0", "m1"], ["i-1", "i-2", "i-3", "i-4"]);
 * ```
 * @param models - The models.
 * @param engines - The engines that may be used.
 */
export function assignEngines(
  models: readonly string[],
  engines: readonly EndpointId[],
): ReadonlyMap<string, ReadonlySet<EndpointId>> {
  const homes = new Map(
    models.map((model) => [model, new Set<EndpointId>()]),
  );
  if (engines.length < models.length) {
    models.forEach((model) => homes.set(model, new Set(engines)));
    return homes;
  }
  const base = Math.floor(engines.length / Math.max(1, models.length));
  const free = new Set(engines);
  for (const capacity of [base, base + 1]) {
    for (const { model, engine } of listPairs(models, [...free])) {
      const home = homes.get(model);
      if (home !== undefined && free.has(engine) && home.size < capacity) {
        home.add(engine);
        free.delete(engine);
      }
    }
  }
  return homes;
}

function listPairs(
  models: readonly string[],
  engines: readonly EndpointId[],
): readonly { readonly model: string; readonly engine: EndpointId }[] {
  return models.flatMap((model) =>
    engines.map((engine) => ({
      model,
      engine,
      score: hashPair(hashText(model), hashText(engine)),
    }))
  ).sort((a, b) => b.score - a.score || (a.engine < b.engine ? -1 : 1));
}
