/**
 * Authenticates requests by their bearer key.
 * @module
 */
import { AuthenticationError } from "@briarhill/common/errors/errors";
import type { Contract } from "@briarhill/contract/contract/contract";
import type { ContractSource } from "../configuration/contract_source.ts";
import type { Exchange } from "./exchange.ts";

/**
 * Returns the contract whose bearer key a request carries. Throws an
 * `AuthenticationError` if it has no key or no contract in force has that key.
 *
 * @example
 * ```ts
 * const contract = getContractOrThrow(exchange, contracts);
 * ```
 * @param exchange - The exchange of the request.
 * @param contracts - The contracts in force.
 */
export function getContractOrThrow(
  exchange: Exchange,
  contracts: ContractSource,
): Contract {
  const key = exchange.getBearerKey();
  if (key === undefined) {
    throw new AuthenticationError("the request has no bearer key");
  }
  const contract = contracts.getContractByKey(key);
  if (contract === undefined) {
    throw new AuthenticationError("no contract in force has this bearer key");
  }
  return contract;
}
