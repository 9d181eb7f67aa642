/**
 * Reads and checks the contract files named on the command line, together with
 * the contracts in force, which they replace customer by customer.
 * @module
 */
import { IniDocument } from "@briarhill/common/settings/ini_document";
import {
  checkContracts,
  type ContractWithSource,
} from "@briarhill/contract/contract/contract_checks";
import type { CapacityStructure } from "@briarhill/contract/contract/capacity";
import {
  checkContractSections,
  parseContractSections,
} from "@briarhill/contract/contract/contract_sections";
import {
  type ContractFault,
  type ContractSections,
  formatFault,
  type SectionSource,
  toSectionSource,
} from "@briarhill/contract/contract/section_source";
import {
  type ConfigurationState,
  listContracts,
} from "@briarhill/control/configuration/configuration_state";
import { type CommandReport } from "../command/operator_command.ts";
import { ExitCode } from "../command/exit_code.ts";
import { readTextFile } from "./operator_settings.ts";

/** The contracts read from files, and the faults found in them. */
export interface CheckedFiles {
  readonly contracts: readonly Required<ContractWithSource>[];
  readonly faults: readonly ContractFault[];
}

/** Options of {@link checkContractFiles} and {@link checkContractSet}. */
export interface FileCheckOptions {
  readonly capacity?: CapacityStructure | undefined;
  /** The configuration in force; contracts from files replace those in it. */
  readonly inForce?: ConfigurationState | undefined;
}

/**
 * Reads contract files and checks each of them alone, then all of them together.
 *
 * @example
 * ```ts
 * const { faults } = checkContractFiles(["agencia.ini", "maison.ini"], {});
 * ```
 * @param files - The paths of the files.
 * @param options - The capacity and the configuration to check them against.
 */
export function checkContractFiles(
  files: readonly string[],
  options: FileCheckOptions,
): CheckedFiles {
  const sources = files.map(readSource);
  const faults = sources.flatMap(checkContractSections);
  if (faults.length > 0) {
    return { contracts: [], faults };
  }
  const contracts = sources.map((source) => ({
    structure: parseContractSections(source),
    source,
  }));
  return { contracts, faults: checkContractSet(contracts, options) };
}

/**
 * Checks contracts together with those in force of other customers and returns
 * the faults.
 *
 * @example
 * ```ts
 * const faults = checkContractSet([{ structure, source }], { inForce: state });
 * ```
 * @param contracts - The contracts from the files.
 * @param options - The capacity and the configuration to check them against.
 */
export function checkContractSet(
  contracts: readonly ContractWithSource[],
  options: FileCheckOptions,
): readonly ContractFault[] {
  const changed = new Set(contracts.map(({ structure }) => structure.customer));
  const others: readonly ContractWithSource[] = options.inForce === undefined
    ? []
    : listContracts(options.inForce)
      .filter(({ customer }) => !changed.has(customer));
  return checkContracts([...others, ...contracts], options.capacity);
}

/**
 * Creates the report of a failed check, or returns undefined when there are no
 * faults.
 *
 * @example
 * ```ts
 * const report = createFaultReport(faults) ?? change;
 * ```
 * @param faults - The faults that the check found.
 */
export function createFaultReport(
  faults: readonly ContractFault[],
): CommandReport | undefined {
  return faults.length === 0 ? undefined : {
    code: ExitCode.Faults,
    data: { faults },
    lines: faults.map(formatFault),
  };
}

/**
 * Returns sections in the form in which a configuration record stores them.
 *
 * @example
 * ```ts
 * const sections = toRecordSections(source.sections);
 * ```
 * @param sections - The sections of a contract or an amendment.
 */
export function toRecordSections(
  sections: ContractSections,
): Record<string, Record<string, string | string[]>> {
  return JSON.parse(JSON.stringify(sections));
}

function readSource(file: string): SectionSource {
  return toSectionSource(IniDocument.parse(file, readTextFile(file)));
}
