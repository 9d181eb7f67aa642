/**
 * Compares two revisions of a contract.
 * @module
 */
import { toContractSections } from "./contract_sections.ts";
import type { ContractStructure } from "./contract_structure.ts";

/**
 * A key whose value differs; `before` or `after` is undefined if the key is
 * absent there.
 */
export interface ContractDifference {
  readonly section: string;
  readonly key: string;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

/**
 * Returns the keys whose values differ between two contracts.
 *
 * @example
 * ```ts
 * const differences = compareContracts(older.structure, newer.structure);
 * ```
 * @param before - The older contract, or undefined if there was none.
 * @param after - The newer contract, or undefined if it was removed.
 */
export function compareContracts(
  before: ContractStructure | undefined,
  after: ContractStructure | undefined,
): readonly ContractDifference[] {
  const beforeValues = toFlatValues(before);
  const afterValues = toFlatValues(after);
  const paths = [...new Set([...beforeValues.keys(), ...afterValues.keys()])];
  return paths.filter((path) =>
    beforeValues.get(path) !== afterValues.get(path)
  ).map(
    (path) => {
      const [section = "", key = ""] = path.split("\n");
      return {
        section,
        key,
        before: beforeValues.get(path),
        after: afterValues.get(path),
      };
    },
  );
}

function toFlatValues(
  contract: ContractStructure | undefined,
): ReadonlyMap<string, string> {
  const values = new Map<string, string>();
  const sections = contract === undefined ? {} : toContractSections(contract);
  for (const [section, keys] of Object.entries(sections)) {
    for (const [key, value] of Object.entries(keys)) {
      const text = typeof value === "string" ? value : value.join(", ");
      values.set(`${section}\n${key}`, text);
    }
  }
  return values;
}
