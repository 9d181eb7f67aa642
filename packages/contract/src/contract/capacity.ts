/**
 * Parses the capacity file, which describes the platform that contracts are
 * checked against.
 * @module
 */
import type {
  CustomerId,
  FailureDomain,
  ModelName,
  Region,
} from "@briarhill/common/ids/ids";
import { IniDocument } from "@briarhill/common/settings/ini_document";
import { FAILURE_DOMAIN_SECTION, PLATFORM_SECTION } from "./contract_schema.ts";
import {
  checkSection,
  createFault,
  throwIfFaults,
  toSectionSource,
} from "./section_source.ts";

const PLATFORM = "platform";
const DOMAIN_PREFIX = "failure_domain ";

/** The customers, models, services and limits of the platform. */
export interface CapacityStructure {
  readonly customers: readonly CustomerId[];
  readonly models: readonly ModelName[];
  readonly services: readonly string[];
  /** The maximum number of generations that all engines together run at once. */
  readonly maxOpenCalls: number;
  /** The maximum number of tokens that any engine allows for a generation. */
  readonly maxTokens: number;
  readonly maxBodyBytes: number;
  readonly failureDomains: readonly FailureDomainStructure[];
}

/** A failure domain and its region. */
export interface FailureDomainStructure {
  readonly name: FailureDomain;
  readonly region: Region;
}

/**
 * Parses the text of a capacity file, or throws an `InputError`.
 *
 * @example
 * ```ts
 * const capacity = parseCapacity("platform.ini", text);
 * ```
 * @param file - The file's name, used in messages.
 * @param text - The INI text.
 */
export function parseCapacity(file: string, text: string): CapacityStructure {
  const source = toSectionSource(IniDocument.parse(file, text));
  const platform = checkSection(source, {
    section: PLATFORM,
    schema: PLATFORM_SECTION,
  });
  const otherSections = Object.keys(source.sections).filter((name) =>
    name !== PLATFORM
  );
  const domainFaults = otherSections.map((section) =>
    section.startsWith(DOMAIN_PREFIX)
      ? checkSection(source, { section, schema: FAILURE_DOMAIN_SECTION }).faults
      : [createFault(source, { section, key: "", message: "is unknown" })]
  );
  throwIfFaults([...platform.faults, ...domainFaults.flat()]);
  const values = PLATFORM_SECTION.parse(source.sections[PLATFORM]);
  return {
    customers: values.customers,
    models: values.models,
    services: values.services ?? [],
    maxOpenCalls: values.max_open_calls,
    maxTokens: values.max_tokens,
    maxBodyBytes: values.max_body_bytes,
    failureDomains: otherSections.map((section) => ({
      name: section.slice(DOMAIN_PREFIX.length),
      region: FAILURE_DOMAIN_SECTION.parse(source.sections[section]).region,
    })),
  };
}
