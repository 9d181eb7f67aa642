/**
 * Decides whether a record of the configuration log takes effect. The decision
 * may depend only on the record and on the state before it, so that all hosts
 * come to the same result.
 * @module
 */
import { ContractError } from "@briarhill/common/errors/errors";
import { mergeAmendment } from "@briarhill/contract/contract/amendment";
import { checkContracts } from "@briarhill/contract/contract/contract_checks";
import { parseContractSections } from "@briarhill/contract/contract/contract_sections";
import type { ContractStructure } from "@briarhill/contract/contract/contract_structure";
import {
  createSectionSource,
  formatFault,
} from "@briarhill/contract/contract/section_source";
import {
  type ConfigurationRecord,
  getContractSubject,
  getSubject,
  isSameRecord,
  type Subject,
} from "./configuration_record.ts";
import {
  type ConfigurationState,
  getCapacity,
  getRevision,
  type SubjectValue,
} from "./configuration_state.ts";

/**
 * The result for one record; "duplicate" means that the record in force was
 * appended again.
 */
export type Verdict =
  | "accepted"
  | "duplicate"
  | "conflict"
  | "invalid"
  | "malformed";

/** The decision on one record. */
export interface RecordDecision {
  readonly verdict: Verdict;
  /** The reason for a "conflict", "invalid" or "malformed"; else empty. */
  readonly message: string;
  /** The subject's new value; only set for an accepted record. */
  readonly value?: SubjectValue;
}

/**
 * Decides whether a record takes effect. Of several records that are based on
 * the same revision the first in the log is accepted; the others conflict.
 *
 * @example
 * ```ts
 * const { verdict, message } = decideRecord(state, record);
 * ```
 * @param state - The configuration before the record.
 * @param record - The record to decide on.
 */
export function decideRecord(
  state: ConfigurationState,
  record: ConfigurationRecord,
): RecordDecision {
  const subject = getSubject(record);
  const found = state.subjects.get(subject);
  if (found !== undefined && isSameRecord(found.id, record)) {
    return { verdict: "duplicate", message: "" };
  }
  const revision = getRevision(state, subject);
  if (record.basedOn !== revision) {
    const by = found === undefined ? "" : ` by "${found.id.writer}"`;
    return {
      verdict: "conflict",
      message: `the change of "${subject}" is based on revision ` +
        `${record.basedOn}, but revision ${revision}${by} is in force`,
    };
  }
  try {
    const value = buildValue(state, record);
    throwIfInvalid(state, { subject, value });
    return { verdict: "accepted", message: "", value };
  } catch (error) {
    if (error instanceof ContractError) {
      return { verdict: "invalid", message: error.message };
    }
    throw error;
  }
}

function buildValue(
  state: ConfigurationState,
  record: ConfigurationRecord,
): SubjectValue {
  switch (record.kind) {
    case "contract": {
      const sourceName = `contract of "${record.customer}"`;
      const source = createSectionSource(sourceName, record.sections);
      const contract = parseContractSections(source);
      return {
        kind: "contract",
        contract: { ...contract, customer: record.customer },
      };
    }
    case "amendment": {
      const contract = getContractOrThrow(state, record.customer);
      return { kind: "contract", contract: mergeAmendment(contract, record) };
    }
    case "removal":
      getContractOrThrow(state, record.customer);
      return { kind: "removed" };
    case "drain":
      return {
        kind: "drain",
        target: record.target,
        draining: record.draining,
      };
    case "capacity":
      return { kind: "capacity", capacity: record.capacity };
  }
}

function getContractOrThrow(
  state: ConfigurationState,
  customer: string,
): ContractStructure {
  const value = state.subjects.get(getContractSubject(customer))?.value;
  if (value?.kind !== "contract") {
    throw new ContractError(`no contract of "${customer}" is in force`);
  }
  return value.contract;
}

/**
 * Checks a change together with all other contracts in force, because changes
 * that are valid on their own can exceed the total share in combination.
 */
function throwIfInvalid(
  state: ConfigurationState,
  change: { readonly subject: Subject; readonly value: SubjectValue },
): void {
  const { subject, value } = change;
  if (value.kind !== "contract" && value.kind !== "capacity") {
    return;
  }
  const contracts: { readonly structure: ContractStructure }[] = [];
  for (const [other, { value: current }] of state.subjects) {
    if (other !== subject && current.kind === "contract") {
      contracts.push({ structure: current.contract });
    }
  }
  if (value.kind === "contract") {
    contracts.push({ structure: value.contract });
  }
  const capacity = value.kind === "capacity"
    ? value.capacity
    : getCapacity(state);
  const [fault] = checkContracts(contracts, capacity);
  if (fault !== undefined) {
    throw new ContractError(formatFault(fault));
  }
}
