/**
 * Creates contracts of synthetic customers for measurements.
 * @module
 */
import { Contract } from "@briarhill/contract/contract/contract";
import type {
  ContractStructure,
  ServiceGrantStructure,
} from "@briarhill/contract/contract/contract_structure";

const REGISTER: ServiceGrantStructure = {
  name: "register",
  idempotent: false,
  maxOpenCalls: 32,
  maxBodyBytes: 1_048_576,
  deadlineMs: 10_000,
};

/**
 * Returns the structure of a contract that has every section.
 *
 * @example
 * ```ts
 * const structure = createContractStructure(3, 10);
 * ```
 * @param index - The index of the customer, which makes its name unique.
 * @param count - The number of customers that share the engines.
 */
export function createContractStructure(
  index: number,
  count: number,
): ContractStructure {
  return {
    customer: `customer-${index}`,
    keyHashes: [String(index).padStart(64, "0")],
    engineTime: {
      share: 1 / count,
      liveFloor: 0.4,
      lend: true,
      takeBackMs: 2000,
    },
    live: {
      models: ["names-es"],
      priority: 80,
      maxOpenCalls: 64,
      maxQueuedCalls: 128,
      maxTokens: 4096,
      maxBodyBytes: 1_048_576,
      deadlineMs: 30_000,
    },
    services: [REGISTER],
    training: {
      models: ["names-es"],
      priority: 20,
      staleness: { maxVersionsBehind: 4, maxAgeMs: 900_000 },
      favours: "idle-time",
      scorer: undefined,
      maxOpenLots: 4,
      maxSamplesPerLot: 32_768,
      maxTokens: 8192,
    },
  };
}

/**
 * Returns contracts of several customers with equal shares.
 *
 * @example
 * ```ts
 * const contracts = createContracts(10);
 * ```
 * @param count - The number of customers.
 */
export function createContracts(count: number): readonly Contract[] {
  return Array.from(
    { length: count },
    (_, index) => new Contract(createContractStructure(index, count), index),
  );
}
