/**
 * Converts contracts to and from named sections, the common representation of
 * contract files, amendments and the configuration log.
 * @module
 */
import type { IniSection } from "@briarhill/common/settings/ini_document";
import type { z } from "zod";
import {
  CONTRACT_SECTION,
  ENGINE_TIME_SECTION,
  KEYS_SECTION,
  LIVE_SECTION,
  SERVICE_SECTION,
  TRAINING_SECTION,
} from "./contract_schema.ts";
import type {
  ContractStructure,
  LiveStructure,
  ServiceGrantStructure,
  TrainingStructure,
} from "./contract_structure.ts";
import {
  checkSection,
  type ContractFault,
  type ContractSections,
  createFault,
  type SectionSource,
  throwIfFaults,
} from "./section_source.ts";

/** The prefix of the name of a service's section. */
export const SERVICE_PREFIX = "service ";

const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  contract: CONTRACT_SECTION,
  keys: KEYS_SECTION,
  "engine_time": ENGINE_TIME_SECTION,
  live: LIVE_SECTION,
  training: TRAINING_SECTION,
};

/** The sections that every contract must have. */
export const REQUIRED_SECTIONS: readonly string[] = [
  "contract",
  "keys",
  "engine_time",
];

/**
 * Checks the sections of a single contract and returns all faults, ordered by
 * line.
 *
 * @example
 * ```ts
 * for (const fault of checkContractSections(source)) {
 *   console.error(formatFault(fault));
 * }
 * ```
 * @param source - The sections and their source locations.
 */
export function checkContractSections(
  source: SectionSource,
): readonly ContractFault[] {
  const present = Object.keys(source.sections);
  const absent = REQUIRED_SECTIONS.filter((name) => !present.includes(name));
  const faults = [...present, ...absent].flatMap((section) => {
    const schema = section.startsWith(SERVICE_PREFIX)
      ? SERVICE_SECTION
      : SCHEMAS[section];
    return schema === undefined
      ? [createUnknownFault(source, section)]
      : checkSection(source, { section, schema }).faults;
  });
  return faults.toSorted((a, b) => a.line - b.line);
}

function createUnknownFault(
  source: SectionSource,
  section: string,
): ContractFault {
  const known = Object.keys(SCHEMAS).join(", ");
  return createFault(source, {
    section,
    key: "",
    message: `is unknown, expected one of ${known} or "service NAME"`,
  });
}

/**
 * Parses the sections of a contract, or throws a `ContractError` for the first
 * fault.
 *
 * @example
 * ```ts
 * const structure = parseContractSections(createSectionSource("log", sections));
 * ```
 * @param source - The sections and their source locations.
 */
export function parseContractSections(
  source: SectionSource,
): ContractStructure {
  throwIfFaults(checkContractSections(source));
  const { sections } = source;
  const engineTime = ENGINE_TIME_SECTION.parse(sections["engine_time"]);
  return {
    customer: CONTRACT_SECTION.parse(sections["contract"]).customer,
    keyHashes: KEYS_SECTION.parse(sections["keys"]).sha256,
    engineTime: {
      share: engineTime.share,
      liveFloor: engineTime.live_floor,
      lend: engineTime.lend,
      takeBackMs: engineTime.take_back_ms,
    },
    live: parseLive(sections),
    services: parseServices(sections),
    training: parseTraining(sections),
  };
}

function parseLive(sections: ContractSections): LiveStructure | undefined {
  if (sections["live"] === undefined) {
    return undefined;
  }
  const live = LIVE_SECTION.parse(sections["live"]);
  return {
    models: live.models,
    priority: live.priority,
    maxOpenCalls: live.max_open_calls,
    maxQueuedCalls: live.max_queued_calls,
    maxTokens: live.max_tokens,
    maxBodyBytes: live.max_body_bytes,
    deadlineMs: live.deadline_ms,
  };
}

function parseServices(
  sections: ContractSections,
): readonly ServiceGrantStructure[] {
  return Object.entries(sections)
    .filter(([section]) => section.startsWith(SERVICE_PREFIX))
    .map(([section, values]) => {
      const grant = SERVICE_SECTION.parse(values);
      return {
        name: section.slice(SERVICE_PREFIX.length),
        idempotent: grant.idempotent,
        maxOpenCalls: grant.max_open_calls,
        maxBodyBytes: grant.max_body_bytes,
        deadlineMs: grant.deadline_ms,
      };
    });
}

function parseTraining(
  sections: ContractSections,
): TrainingStructure | undefined {
  if (sections["training"] === undefined) {
    return undefined;
  }
  const training = TRAINING_SECTION.parse(sections["training"]);
  return {
    models: training.models,
    priority: training.priority,
    staleness: {
      maxVersionsBehind: training.max_versions_behind,
      maxAgeMs: training.max_age_ms,
    },
    favours: training.favours,
    scorer: training.scorer,
    maxOpenLots: training.max_open_lots,
    maxSamplesPerLot: training.max_samples_per_lot,
    maxTokens: training.max_tokens,
  };
}

/**
 * Returns the sections of a contract. {@link parseContractSections} is the
 * inverse.
 *
 * @example
 * ```ts
 * const sections = toContractSections(contract.structure);
 * ```
 * @param structure - The contract.
 */
export function toContractSections(
  structure: ContractStructure,
): ContractSections {
  const { engineTime, live, training } = structure;
  const sections: Record<string, IniSection> = {
    contract: { customer: structure.customer },
    keys: { sha256: structure.keyHashes },
    "engine_time": {
      share: String(engineTime.share),
      live_floor: String(engineTime.liveFloor),
      lend: formatYesOrNo(engineTime.lend),
      take_back_ms: String(engineTime.takeBackMs),
    },
  };
  if (live !== undefined) {
    sections["live"] = toLiveSection(live);
  }
  for (const grant of structure.services) {
    sections[SERVICE_PREFIX + grant.name] = toServiceSection(grant);
  }
  if (training !== undefined) {
    sections["training"] = toTrainingSection(training);
  }
  return sections;
}

function toLiveSection(live: LiveStructure): IniSection {
  return {
    models: live.models,
    priority: String(live.priority),
    max_open_calls: String(live.maxOpenCalls),
    max_queued_calls: String(live.maxQueuedCalls),
    max_tokens: String(live.maxTokens),
    max_body_bytes: String(live.maxBodyBytes),
    deadline_ms: String(live.deadlineMs),
  };
}

function toServiceSection(grant: ServiceGrantStructure): IniSection {
  return {
    idempotent: formatYesOrNo(grant.idempotent),
    max_open_calls: String(grant.maxOpenCalls),
    max_body_bytes: String(grant.maxBodyBytes),
    deadline_ms: String(grant.deadlineMs),
  };
}

function toTrainingSection(training: TrainingStructure): IniSection {
  const { scorer } = training;
  return {
    models: training.models,
    priority: String(training.priority),
    max_versions_behind: String(training.staleness.maxVersionsBehind),
    max_age_ms: String(training.staleness.maxAgeMs),
    favours: training.favours,
    ...(scorer === undefined ? {} : { scorer }),
    max_open_lots: String(training.maxOpenLots),
    max_samples_per_lot: String(training.maxSamplesPerLot),
    max_tokens: String(training.maxTokens),
  };
}

function formatYesOrNo(value: boolean): string {
  return value ? "yes" : "no";
}
