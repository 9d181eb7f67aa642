/**
 * Computes the live floor of a model: the share of its engines that must
 * continue to serve while others switch to new weights.
 * @module
 */
import type { ModelName } from "@briarhill/common/ids/ids";
import type { Contract } from "@briarhill/contract/contract/contract";

/** An engine and the models that it serves. */
export interface ModelEngine {
  readonly models: readonly ModelName[];
}

/**
 * Returns the share of a model's engines that live calls may need. A contract's
 * live floor is a share of all engines and is spread over the engines that serve
 * at least one of its live models. Contracts whose live calls don't include the
 * model add nothing to its floor.
 *
 * @example
 * ```ts
 * const liveFloor = computeLiveFloor("names-es", { contracts, engines });
 * ```
 * @param model - The name of the model.
 * @param input - The contracts in force and all engines.
 */
export function computeLiveFloor(
  model: ModelName,
  input: {
    readonly contracts: readonly Contract[];
    readonly engines: readonly ModelEngine[];
  },
): number {
  const groups = listEngineGroups(input.engines);
  let floor = 0;
  for (const contract of input.contracts) {
    const models = new Set(contract.structure.live?.models ?? []);
    if (models.has(model)) {
      const serving = groups
        .filter((group) => group.models.some((name) => models.has(name)))
        .reduce((sum, { count }) => sum + count, 0);
      floor += contract.getLiveFloorShare() * input.engines.length /
        Math.max(1, serving);
    }
  }
  return Math.min(1, floor);
}

interface EngineGroup extends ModelEngine {
  count: number;
}

/** Groups the engines by their models: there are many engines but few different sets of models. */
function listEngineGroups(
  engines: readonly ModelEngine[],
): readonly EngineGroup[] {
  const groups = new Map<string, EngineGroup>();
  for (const { models } of engines) {
    const key = models.join("\n");
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, { models, count: 1 });
    } else {
      group.count += 1;
    }
  }
  return [...groups.values()];
}
