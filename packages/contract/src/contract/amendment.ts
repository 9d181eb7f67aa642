/**
 * Parses, checks and merges amendments, which are partial changes of a
 * contract. The customer of a contract must not change.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";
import {
  IniDocument,
  type IniSection,
} from "@briarhill/common/settings/ini_document";
import { AMEND_SECTION } from "./contract_schema.ts";
import {
  checkContractSections,
  parseContractSections,
  REQUIRED_SECTIONS,
  toContractSections,
} from "./contract_sections.ts";
import type { ContractStructure } from "./contract_structure.ts";
import {
  checkSection,
  type ContractFault,
  type ContractSections,
  createFault,
  type SectionSource,
  throwIfFaults,
  toSectionSource,
} from "./section_source.ts";

const AMEND = "amend";

/** A partial change of a contract. */
export interface AmendmentStructure {
  readonly customer: CustomerId;
  /** The revision that the change is based on; the one in force if omitted. */
  readonly basedOn: number | undefined;
  /** The keys to set; a key with an empty value is removed. */
  readonly sections: ContractSections;
  /** The names of the sections to remove. */
  readonly removed: readonly string[];
}

/** An amendment and the source locations of its keys. */
export interface AmendmentSource {
  readonly amendment: AmendmentStructure;
  readonly source: SectionSource;
}

/**
 * Parses the text of an amendment. Only the section `[amend]` is checked here;
 * {@link checkAmendment} checks the changes against the contract in force.
 *
 * @example
 * ```ts
 * const { amendment } = parseAmendment("amendment.ini", text);
 * ```
 * @param file - The file's name, used in messages.
 * @param text - The INI text.
 */
export function parseAmendment(file: string, text: string): AmendmentSource {
  const source = toSectionSource(IniDocument.parse(file, text));
  const check = { section: AMEND, schema: AMEND_SECTION };
  throwIfFaults(checkSection(source, check).faults);
  const { [AMEND]: header, ...sections } = source.sections;
  const { customer, based_on: basedOn, remove } = AMEND_SECTION.parse(header);
  return {
    amendment: { customer, basedOn, sections, removed: remove ?? [] },
    source,
  };
}

/**
 * Applies an amendment to a contract and returns the amended contract. Keys and
 * sections that the amendment does not name are unchanged. Throws a
 * `ContractError` if the result is not a valid contract.
 *
 * @example
 * ```ts
 * const next = mergeAmendment(contract.structure, amendment);
 * ```
 * @param contract - The contract in force.
 * @param amendment - The amendment.
 */
export function mergeAmendment(
  contract: ContractStructure,
  amendment: Pick<AmendmentStructure, "sections" | "removed">,
): ContractStructure {
  const sections = mergeSections(toContractSections(contract), amendment);
  const merged = parseContractSections({
    file: `amended contract of "${contract.customer}"`,
    sections,
    getLine: () => 0,
  });
  // The customer identifies the contract, so an amendment can't change it.
  return { ...merged, customer: contract.customer };
}

/**
 * Checks an amendment against the contract in force and returns all faults with
 * their lines in the amendment.
 *
 * @example
 * ```ts
 * const faults = checkAmendment(contract.structure, parseAmendment(file, text));
 * ```
 * @param contract - The contract in force.
 * @param parsed - The amendment and its source locations.
 */
export function checkAmendment(
  contract: ContractStructure,
  parsed: AmendmentSource,
): readonly ContractFault[] {
  const { amendment, source } = parsed;
  const base = toContractSections(contract);
  const removalFaults = amendment.removed
    .filter((name) =>
      base[name] === undefined || REQUIRED_SECTIONS.includes(name)
    )
    .map((name) =>
      createFault(source, {
        section: AMEND,
        key: "remove",
        message:
          `names "${name}", which is not in the contract or can't be removed`,
      })
    );
  const identityFaults = amendment.sections["contract"] === undefined ? [] : [
    createFault(source, {
      section: "contract",
      key: "",
      message: "can't be amended: the customer identifies the contract",
    }),
  ];
  const removed = amendment.removed.filter((name) =>
    !REQUIRED_SECTIONS.includes(name)
  );
  const sections = mergeSections(base, { ...amendment, removed });
  return [
    ...removalFaults,
    ...identityFaults,
    ...checkContractSections({ ...source, sections }),
  ];
}

function mergeSections(
  base: ContractSections,
  amendment: Pick<AmendmentStructure, "sections" | "removed">,
): ContractSections {
  const merged: Record<string, IniSection> = { ...base };
  for (const name of amendment.removed) {
    delete merged[name];
  }
  for (const [name, section] of Object.entries(amendment.sections)) {
    const values = { ...merged[name], ...section };
    merged[name] = Object.fromEntries(
      Object.entries(values).filter(([, value]) => value !== ""),
    );
  }
  return merged;
}
