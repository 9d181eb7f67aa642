/**
 * Parses and formats contracts as INI text, with one file per customer.
 * @module
 */
import { IniDocument } from "@briarhill/common/settings/ini_document";
import {
  parseContractSections,
  toContractSections,
} from "./contract_sections.ts";
import type { ContractStructure } from "./contract_structure.ts";
import { type ContractSections, toSectionSource } from "./section_source.ts";

/**
 * Parses the text of a contract, or throws an `InputError`.
 *
 * @example
 * ```ts
 * const structure = parseContract("agencia.ini", text);
 * ```
 * @param file - The file's name, used in messages.
 * @param text - The INI text.
 */
export function parseContract(file: string, text: string): ContractStructure {
  return parseContractSections(toSectionSource(IniDocument.parse(file, text)));
}

/**
 * Formats a contract as INI text. {@link parseContract} is the inverse.
 *
 * @example
 * ```ts
 * process.stdout.write(formatContract(contract.structure));
 * ```
 * @param structure - The contract.
 */
export function formatContract(structure: ContractStructure): string {
  return formatSections(toContractSections(structure));
}

/**
 * Formats sections as INI text.
 *
 * @example
 * ```ts
 * formatSections({ engine_time: { share: "0.5" } });
 * ```
 * @param sections - The sections, in the order of the output.
 */
export function formatSections(sections: ContractSections): string {
  return Object.entries(sections).map(([name, section]) => {
    const lines = Object.entries(section).flatMap(([key, value]) =>
      typeof value === "string"
        ? [`${key} = ${value}`]
        : value.map((item) => `${key}[] = ${item}`)
    );
    return [`[${name}]`, ...lines, ""].join("\n");
  }).join("\n");
}
