/**
 * The configuration after a prefix of the configuration log, and queries of it.
 * @module
 */
import type { CustomerId, HostId } from "@briarhill/common/ids/ids";
import type { CapacityStructure } from "@briarhill/contract/contract/capacity";
import { Contract } from "@briarhill/contract/contract/contract";
import type { ContractStructure } from "@briarhill/contract/contract/contract_structure";
import {
  type DrainTarget,
  getContractSubject,
  getDrainSubject,
  NO_REVISION,
  type RecordId,
  type Subject,
} from "./configuration_record.ts";

/** The value in force for one subject. */
export type SubjectValue =
  | { readonly kind: "contract"; readonly contract: ContractStructure }
  | { readonly kind: "removed" }
  | {
    readonly kind: "drain";
    readonly target: DrainTarget;
    readonly draining: boolean;
  }
  | { readonly kind: "capacity"; readonly capacity: CapacityStructure };

/** The value of one subject and the record that set it. */
export interface SubjectState {
  /** The offset of the record in force; retained after a removal. */
  readonly revision: number;
  readonly id: RecordId;
  /** The wall-clock time that the log gave the record. */
  readonly timeMs: number;
  readonly value: SubjectValue;
}

/** The configuration after a prefix of the log. */
export interface ConfigurationState {
  /** The offset of the last applied record, or -1 before the first one. */
  readonly offset: number;
  readonly subjects: ReadonlyMap<Subject, SubjectState>;
}

/** The configuration before the first record. */
export const EMPTY_CONFIGURATION: ConfigurationState = {
  offset: NO_REVISION,
  subjects: new Map(),
};

/** The host or endpoint whose drains are queried. */
export interface DrainQuery {
  readonly host?: HostId;
  readonly endpoint?: string;
  readonly failureDomain?: string;
}

/**
 * Returns the contracts in force.
 *
 * @example
 * ```ts
 * for (const contract of listContracts(state)) {
 *   console.log(contract.customer, contract.revision);
 * }
 * ```
 * @param state - The configuration to read.
 */
export function listContracts(state: ConfigurationState): readonly Contract[] {
  const contracts: Contract[] = [];
  for (const { value, revision } of state.subjects.values()) {
    if (value.kind === "contract") {
      contracts.push(new Contract(value.contract, revision));
    }
  }
  return contracts;
}

/**
 * Returns the contract of a customer, or undefined when none is in force.
 *
 * @example
 * ```ts
 * const contract = findContract(state, "agencia");
 * ```
 * @param state - The configuration to read.
 * @param customer - The customer's id.
 */
export function findContract(
  state: ConfigurationState,
  customer: CustomerId,
): Contract | undefined {
  const found = state.subjects.get(getContractSubject(customer));
  return found?.value.kind === "contract"
    ? new Contract(found.value.contract, found.revision)
    : undefined;
}

/**
 * Returns the revision of a subject, or -1 if it has no accepted record.
 *
 * @example
 * ```ts
 * const basedOn = getRevision(state, getContractSubject("agencia"));
 * ```
 * @param state - The configuration to read.
 * @param subject - The subject's key.
 */
export function getRevision(
  state: ConfigurationState,
  subject: Subject,
): number {
  return state.subjects.get(subject)?.revision ?? NO_REVISION;
}

/**
 * Returns the platform's capacity, or undefined if none has been published.
 *
 * @example
 * ```ts
 * const faults = checkContracts(contracts, getCapacity(state));
 * ```
 * @param state - The configuration to read.
 */
export function getCapacity(
  state: ConfigurationState,
): CapacityStructure | undefined {
  const value = state.subjects.get("capacity")?.value;
  return value?.kind === "capacity" ? value.capacity : undefined;
}

/**
 * Returns the drains in force.
 *
 * @example
 * ```ts
 * const hosts = listDrains(state).filter(({ kind }) => kind === "host");
 * ```
 * @param state - The configuration to read.
 */
export function listDrains(state: ConfigurationState): readonly DrainTarget[] {
  const targets: DrainTarget[] = [];
  for (const { value } of state.subjects.values()) {
    if (value.kind === "drain" && value.draining) {
      targets.push(value.target);
    }
  }
  return targets;
}

/**
 * Returns whether a drain in force applies to a host or an endpoint.
 *
 * @example
 * ```ts
 * isDrained(state, { endpoint: "engine-4", failureDomain: "bogota-2" });
 * ```
 * @param state - The configuration to read.
 * @param query - The names of the host or endpoint and its failure domain.
 */
export function isDrained(
  state: ConfigurationState,
  query: DrainQuery,
): boolean {
  const targets:
    readonly (readonly [DrainTarget["kind"], string | undefined])[] = [
      ["host", query.host],
      ["endpoint", query.endpoint],
      ["failure-domain", query.failureDomain],
    ];
  return targets.some(([kind, name]) => {
    const subject = getDrainSubject({ kind, name: name ?? "" });
    const value = state.subjects.get(subject)?.value;
    return value?.kind === "drain" && value.draining;
  });
}
