/**
 * Reads the terms for training from customers' contracts.
 * @module
 */
import {
  NotFoundError,
  PermissionError,
} from "@briarhill/common/errors/errors";
import type { Contract } from "@briarhill/contract/contract/contract";
import type { TrainingStructure } from "@briarhill/contract/contract/contract_structure";
import type { TrainerTerms } from "@briarhill/rollout/scheduling/scheduler_policies";
import { computeRunAheadLots } from "@briarhill/rollout/staleness/run_ahead";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { LotName } from "./lot_name.ts";

/**
 * Returns the contract of a lot's customer.
 *
 * @example
 * ```ts
 * const contract = getTrainingContractOrThrow(contracts, lot.structure);
 * ```
 * @param contracts - The contracts in force.
 * @param name - The lot.
 */
export function getTrainingContractOrThrow(
  contracts: ContractSource,
  name: Pick<LotName, "customer">,
): Contract {
  const contract = contracts.getContract(name.customer);
  if (contract === undefined) {
    throw new NotFoundError(`customer "${name.customer}" has no contract`);
  }
  return contract;
}

/**
 * Returns the training terms of a lot's customer.
 *
 * @example
 * ```ts
 * const { staleness } = getTrainingOrThrow(contracts, lot.structure);
 * ```
 * @param contracts - The contracts in force.
 * @param name - The lot.
 */
export function getTrainingOrThrow(
  contracts: ContractSource,
  name: Pick<LotName, "customer">,
): TrainingStructure {
  const contract = getTrainingContractOrThrow(contracts, name);
  const { training } = contract.structure;
  if (training === undefined) {
    throw new PermissionError(
      `the contract of "${name.customer}" does not allow training`,
    );
  }
  return training;
}

/**
 * Builds the terms that the scheduler applies to a trainer. A trainer that has made
 * no call for the maximum sample age counts as absent and gets no engine time.
 *
 * @example
 * ```ts
 * const terms = buildTrainerTerms(contract, nowMs - lastActivityMs);
 * ```
 * @param contract - The customer's contract.
 * @param idleMs - The time since the trainer's last call.
 */
export function buildTrainerTerms(
  contract: Contract,
  idleMs: number,
): TrainerTerms {
  const { training, engineTime } = contract.structure;
  return {
    share: engineTime.share,
    runAheadLots: training === undefined ? 0 : computeRunAheadLots(training),
    maxVersionsBehind: training?.staleness.maxVersionsBehind ?? 0,
    isPresent: training !== undefined &&
      idleMs <= training.staleness.maxAgeMs,
  };
}
