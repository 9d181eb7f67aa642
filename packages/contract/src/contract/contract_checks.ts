/**
 * Checks contracts against each other and against the platform's capacity.
 * @module
 */
import type { CapacityStructure } from "./capacity.ts";
import { SERVICE_PREFIX } from "./contract_sections.ts";
import type { ContractStructure } from "./contract_structure.ts";
import {
  type ContractFault,
  createFault,
  createSectionSource,
  type SectionSource,
} from "./section_source.ts";

// The sum of decimal shares may exceed 1 by floating-point rounding.
const SHARE_TOLERANCE = 1e-9;

/** A contract and the source it was read from. */
export interface ContractWithSource {
  readonly structure: ContractStructure;
  /** Omitted for a contract that is already in force. */
  readonly source?: SectionSource;
}

interface ContractIssue {
  readonly section: string;
  readonly key: string;
  readonly message: string;
}

/**
 * Returns the faults of a set of contracts: shares whose sum exceeds 1, keys of
 * more than one customer, names that the platform does not have, and limits
 * above those of the platform.
 *
 * @example
 * ```ts
 * const faults = checkContracts([{ structure }], capacity);
 * ```
 * @param contracts - All contracts that would be in force.
 * @param capacity - The platform's capacity; not checked if omitted.
 */
export function checkContracts(
  contracts: readonly ContractWithSource[],
  capacity?: CapacityStructure,
): readonly ContractFault[] {
  const keyOwners = new Map<string, string>();
  const shareIssues = findExcessShares(contracts);
  return contracts.flatMap((placed) => {
    const { structure } = placed;
    const source = placed.source ??
      createSectionSource(`contract of "${structure.customer}"`, {});
    return [
      ...checkKeys(structure, keyOwners),
      ...(shareIssues.get(placed) ?? []),
      ...(capacity === undefined ? [] : checkCapacity(structure, capacity)),
    ].map((issue) => createFault(source, issue));
  });
}

/**
 * Reports an excess sum of shares at each contract that has a source, or at
 * the last contract if none has.
 */
function findExcessShares(
  contracts: readonly ContractWithSource[],
): ReadonlyMap<ContractWithSource, readonly ContractIssue[]> {
  const sum = contracts.reduce(
    (total, { structure }) => total + structure.engineTime.share,
    0,
  );
  if (sum <= 1 + SHARE_TOLERANCE) {
    return new Map();
  }
  const sourced = contracts.filter(({ source }) => source !== undefined);
  const reported = sourced.length > 0 ? sourced : contracts.slice(-1);
  const roundedSum = Number(sum.toFixed(6));
  const issue = {
    section: "engine_time",
    key: "share",
    message:
      `brings the sum of all shares to ${roundedSum}, expected at most 1`,
  };
  return new Map(reported.map((contract) => [contract, [issue]]));
}

function checkKeys(
  structure: ContractStructure,
  owners: Map<string, string>,
): readonly ContractIssue[] {
  const issues: ContractIssue[] = [];
  for (const hash of structure.keyHashes) {
    const owner = owners.get(hash);
    if (owner !== undefined) {
      issues.push({
        section: "keys",
        key: "sha256",
        message: `"${hash.slice(0, 8)}…" is already assigned to "${owner}"`,
      });
    }
    owners.set(hash, structure.customer);
  }
  return issues;
}

function checkCapacity(
  structure: ContractStructure,
  capacity: CapacityStructure,
): readonly ContractIssue[] {
  return [
    ...checkNames([structure.customer], {
      known: capacity.customers,
      section: "contract",
      key: "customer",
    }),
    ...checkNames(structure.live?.models ?? [], {
      known: capacity.models,
      section: "live",
      key: "models",
    }),
    ...checkNames(structure.training?.models ?? [], {
      known: capacity.models,
      section: "training",
      key: "models",
    }),
    ...structure.services.flatMap(({ name }) =>
      checkNames([name], {
        known: capacity.services,
        section: SERVICE_PREFIX + name,
        key: "",
      })
    ),
    ...checkLimits(structure, capacity),
  ];
}

function checkNames(
  names: readonly string[],
  check: {
    readonly known: readonly string[];
    readonly section: string;
    readonly key: string;
  },
): readonly ContractIssue[] {
  const { known, section, key } = check;
  return names.filter((name) => !known.includes(name)).map((name) => ({
    section,
    key,
    message: `names "${name}", which the platform does not have`,
  }));
}

function checkLimits(
  structure: ContractStructure,
  capacity: CapacityStructure,
): readonly ContractIssue[] {
  const { live, training, services } = structure;
  const { maxOpenCalls, maxTokens, maxBodyBytes } = capacity;
  const limits: readonly (readonly [string, string, number, number])[] = [
    ["live", "max_open_calls", live?.maxOpenCalls ?? 0, maxOpenCalls],
    ["live", "max_tokens", live?.maxTokens ?? 0, maxTokens],
    ["live", "max_body_bytes", live?.maxBodyBytes ?? 0, maxBodyBytes],
    ["training", "max_tokens", training?.maxTokens ?? 0, maxTokens],
    ...services.map((grant) =>
      [
        SERVICE_PREFIX + grant.name,
        "max_body_bytes",
        grant.maxBodyBytes,
        maxBodyBytes,
      ] as const
    ),
  ];
  return limits.filter(([, , value, max]) => value > max).map((
    [section, key, value, max],
  ) => ({ section, key, message: `is ${value}, expected at most ${max}` }));
}
