/**
 * The interface through which the other parts of a node read the contracts in
 * force.
 * @module
 */
import type { CustomerId } from "@briarhill/common/ids/ids";
import type { Contract } from "@briarhill/contract/contract/contract";

/** Provides the contracts in force on this host. */
export abstract class ContractSource {
  /** Returns all contracts in force. */
  abstract getContracts(): readonly Contract[];

  /**
   * Returns the contract of a customer.
   *
   * @param customer - The customer's id.
   */
  abstract getContract(customer: CustomerId): Contract | undefined;

  /**
   * Returns the contract whose customer owns a bearer key.
   *
   * @param key - The key in plain text, as sent by the caller.
   */
  abstract getContractByKey(key: string): Contract | undefined;

  /** Returns the offset up to which the configuration log has been applied, or -1. */
  abstract getRevision(): number;

  /** Returns whether the host has read the contracts in force and may act on them. */
  isReady(): boolean {
    return this.getRevision() >= 0;
  }

  /**
   * Registers a callback that runs after each change.
   *
   * @param callback - The callback to run.
   */
  abstract subscribe(callback: () => void): void;
}
